/// \file
/// Peer messages of capacity offers between regions, and of blocked requests.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Spare capacity of one VM's part of a region for a service.
struct CapacityOffer
{
  ServiceId mService;
  RegionId mRegion;
  /// Requests per second not yet reserved.
  double mRequestsPerSecond = 0;
  /// Lifetime from sending, in milliseconds.
  std::uint32_t mLifetimeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mRegion, mRequestsPerSecond, mLifetimeMs);
  }
};

namespace message {

struct OfferAnnouncement
{
  std::vector<CapacityOffer> mOffers;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOffers);
  }
};

/// Reserves, renews (same number) or, with zero, releases capacity.
struct ReservationRequest
{
  std::uint64_t mNumber = 0;
  ServiceId mService;
  RegionId mFromRegion;
  RegionId mToRegion;
  double mRequestsPerSecond = 0;
  /// Rises with each message of one number, so that reordered messages are
  /// told apart.
  std::uint32_t mSequence = 0;
  /// Requests per second that were lately sent under the reservation.
  double mUsedPerSecond = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber,
             mService,
             mFromRegion,
             mToRegion,
             mRequestsPerSecond,
             mSequence,
             mUsedPerSecond);
  }
};

struct ReservationReply
{
  std::uint64_t mNumber = 0;
  /// Requests per second granted; may be less than asked for.
  double mRequestsPerSecond = 0;
  /// Lifetime counted by the asking VM from when it asked.
  std::uint32_t mLifetimeMs = 0;
  /// Of the request that it answers.
  std::uint32_t mSequence = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mRequestsPerSecond, mLifetimeMs, mSequence);
  }
};

/// How far a shift has come on the sender, for VMs of its region that join
/// while the shift is under way.
struct ShiftProgress
{
  ServiceId mService;
  RegionId mTo;
  /// Part of the region's traffic that the sender moves.
  double mShiftedFraction = 0;
  /// Asks the receiver to answer with its own progress.
  bool mIsQuery = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mTo, mShiftedFraction, mIsQuery);
  }
};

/// Requests with this fingerprint ended the servers that ran them.
struct RequestBlock
{
  ContentDigest mFingerprint;
  std::uint32_t mLifetimeMs = 0;
  /// If set, only this one server was lost at the sender, and the request is
  /// to be blocked if it is lost elsewhere too.
  BackendId mLost;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mLifetimeMs, mLost);
  }
};

} // namespace message
} // namespace cranberrywing
