/// \file
/// Bounds what a cold backend server gets from all VMs together, without a
/// message: the first VMs in the server's rendezvous order each may send a
/// fixed number of requests in a second.
#pragma once

#include <vector>

#include "cranberrywing/gateway/backend_pool.h"

namespace cranberrywing::gateway {

/// How far above a server's stated rate is still borne.
struct ColdStartLimits
{
  double mOvershoot = 1;
  /// Requests beside the rate.
  double mSlack = 0;
  /// Part of the bound that is used; VMs may differ for a moment in whom they
  /// count.
  double mUse = 0.7;
};

/// Requests that aSelf may send in any second to a cold server that bears
/// aRate of them, when aVms share it. Thread-safe.
std::size_t ColdQuota(const ColdStartLimits& aLimits,
                      double aRate,
                      std::uint64_t aBackendHash,
                      const std::vector<VmId>& aVms,
                      const VmId& aSelf);

/// Not thread-safe; owned by the gateway.
class ColdStart
{
public:
  explicit ColdStart(ColdStartLimits aLimits);

  void SetLimits(const ColdStartLimits& aLimits) { mLimits = aLimits; }
  /// Whether this VM may send one more request to the cold server now.
  bool MaySend(Backend& aBackend,
               double aRate,
               const std::vector<VmId>& aVms,
               const VmId& aSelf,
               TimePoint aNow) const;

private:
  ColdStartLimits mLimits;
};

} // namespace cranberrywing::gateway
