/// \file
/// Messages of failure detection and gossip between peers.
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
  /// Proven dead; final for the incarnation.
  Dead,
};

/// What one VM reports about another or about itself.
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

/// Time since any member of a failure domain was last heard from directly.
struct DomainContact
{
  /// Lower 32 bits of HashBytes of the failure domain's name.
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
  /// Value of mStoreContactAgeMs if the sender knows of no store contact.
  static constexpr std::uint64_t kNoContact = ~0ull;

  ConfigurationVersion mVersion;
  /// Milliseconds since the store last confirmed the newest revision to any VM
  /// known to the sender.
  std::uint64_t mStoreContactAgeMs = kNoContact;
  /// Number of other members that the sender knows.
  std::uint32_t mKnownMembers = 0;
  /// XOR of a hash of each of them and of the sender.
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
  /// Whether the sender requests the receiver's full member list.
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
  /// The member that was probed. Differs from the sender if the acknowledgement
  /// is relayed.
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

/// The sender is shutting down as planned.
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
