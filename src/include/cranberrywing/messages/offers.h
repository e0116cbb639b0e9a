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

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mService, mFromRegion, mToRegion, mRequestsPerSecond);
  }
};

struct ReservationReply
{
  std::uint64_t mNumber = 0;
  /// Requests per second granted; may be less than asked for.
  double mRequestsPerSecond = 0;
  /// Lifetime counted by the asking VM from when it asked.
  std::uint32_t mLifetimeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mRequestsPerSecond, mLifetimeMs);
  }
};

/// Requests with this fingerprint ended the servers that ran them.
struct RequestBlock
{
  ContentDigest mFingerprint;
  std::uint32_t mLifetimeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mLifetimeMs);
  }
};

} // namespace message
} // namespace cranberrywing
