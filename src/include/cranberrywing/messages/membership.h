/// \file
/// Peer messages of failure detection and gossip.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/messages/configuration.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Unreachable,
  Leaving,
  /// Proven to have ended; final for the incarnation.
  Dead,
};

/// What one VM tells of another.
struct MemberUpdate
{
  VmIncarnation mMember;
  MemberState mState = MemberState::Alive;
  /// Raised by the member itself to refute a suspicion.
  std::uint32_t mVersion = 0;
  std::string mAddress;
  std::uint16_t mPeerPort = 0;
  std::uint16_t mCallerPort = 0;
  RegionId mRegion;
  FailureDomainId mFailureDomain;
  SiteId mSite;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMember,
             mState,
             mVersion,
             mAddress,
             mPeerPort,
             mCallerPort,
             mRegion,
             mFailureDomain,
             mSite);
  }
};

/// How long ago some member of a failure domain was last heard directly.
struct DomainContact
{
  /// Lower half of HashBytes of the failure domain's name.
  std::uint32_t mDomain = 0;
  /// In tenths of a second.
  std::uint16_t mAgeTenths = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDomain, mAgeTenths);
  }
};

/// Carried by every probe and acknowledgement.
struct Gossip
{
  /// mStoreContactAgeMs of a sender that knows of no store contact.
  static constexpr std::uint64_t kNoContact = ~0ull;

  ConfigurationVersion mVersion;
  /// Milliseconds since any VM known to the sender last heard the store
  /// confirm the newest revision.
  std::uint64_t mStoreContactAgeMs = kNoContact;
  /// Members that the sender knows.
  std::uint32_t mKnownMembers = 0;
  /// Exclusive or of a hash of each of them, the sender included.
  std::uint64_t mMembersHash = 0;
  std::vector<DomainContact> mDomains;
  /// The sender's own update comes first, so that any receiver can answer.
  std::vector<MemberUpdate> mUpdates;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion,
             mStoreContactAgeMs,
             mKnownMembers,
             mMembersHash,
             mDomains,
             mUpdates);
  }
};

namespace message {

struct Probe
{
  std::uint64_t mSequence = 0;
  /// Whether the sender asks for the receiver's whole list.
  bool mRequestsFullList = false;
  Gossip mGossip;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence, mRequestsFullList, mGossip);
  }
};

struct ProbeAck
{
  std::uint64_t mSequence = 0;
  /// The member that was probed, which differs from the sender when the
  /// acknowledgement is relayed.
  VmIncarnation mTarget;
  Gossip mGossip;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence, mTarget, mGossip);
  }
};

/// Asks the receiver to probe a member for the sender.
struct ProbeRequest
{
  std::uint64_t mSequence = 0;
  VmId mTarget;
  Gossip mGossip;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSequence, mTarget, mGossip);
  }
};

/// The sender stops as planned.
struct Leave
{
  /// Whether the process has ended all its work and exits now.
  bool mFinal = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFinal);
  }
};

} // namespace message
} // namespace cranberrywing
