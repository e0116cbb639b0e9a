/// \file
/// Peer messages about capacity offers and shifts between regions, and about
/// blocked requests.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Spare capacity that one VM offers of its part of a region, for a service.
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

/// Reserves capacity, renews a reservation (same number) or, with a rate of
/// zero, releases it.
struct ReservationRequest
{
  std::uint64_t mNumber = 0;
  ServiceId mService;
  RegionId mFromRegion;
  RegionId mToRegion;
  double mRequestsPerSecond = 0;
  /// Increases with each message of one number, to detect reordered messages.
  std::uint32_t mSequence = 0;
  /// Recent request rate under the reservation, in requests per second.
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
  /// Requests per second granted; may be less than requested.
  double mRequestsPerSecond = 0;
  /// Lifetime in milliseconds, counted by the requesting VM from when it sent
  /// the request.
  std::uint32_t mLifetimeMs = 0;
  /// Sequence of the request that it answers.
  std::uint32_t mSequence = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mRequestsPerSecond, mLifetimeMs, mSequence);
  }
};

/// Progress of a shift on the sender, for VMs of its region that start while
/// the shift is in progress.
struct ShiftProgress
{
  ServiceId mService;
  RegionId mTo;
  /// Fraction of its traffic that the sender moves to the target region.
  double mShiftedFraction = 0;
  /// Requests the receiver's own progress as the answer.
  bool mIsQuery = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mTo, mShiftedFraction, mIsQuery);
  }
};

/// Blocks requests with this fingerprint, because they crashed the servers that
/// ran them. With neither a lifetime nor a lost server it withdraws the losses
/// reported so far, since a server has answered the request.
struct RequestBlock
{
  ContentDigest mFingerprint;
  /// Remaining time of the block; with mLost the time since the loss.
  std::uint32_t mLifetimeMs = 0;
  /// If set, the sender lost only this process of a server, named by the
  /// server's identifier and, where processes under one identifier can be told
  /// apart, '#' and the lifetime. Receivers count the loss and block the
  /// request once it has crashed enough processes.
  BackendId mLost;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mLifetimeMs, mLost);
  }
};

} // namespace message
} // namespace cranberrywing
