/// \file
/// Limits the request rate that all VMs together send to a cold backend server.
///
/// The permitted rate is divided among the VMs without coordination
/// (FleetQuota).
#pragma once

#include <vector>

#include "cranberrywing/gateway/backend_pool.h"

namespace cranberrywing::gateway {

/// Tolerances of the rate that is configured for cold servers. The bound for
/// all VMs together is rate x mOvershoot + mSlack.
struct ColdStartLimits
{
  double mOvershoot = 1;
  /// Requests per second permitted on top of the scaled rate.
  double mSlack = 0;
  /// Fraction of the bound that is used. The rest covers the time in which VMs
  /// disagree on the set of VMs that share the bound.
  double mUtilization = 0.7;
};

/// Number of requests per second that aSelf may send to a cold server. aRate is
/// the configured rate in requests per second, aVms are the VMs that share it.
/// Thread-safe.
std::size_t ColdQuota(const ColdStartLimits& aLimits,
                      double aRate,
                      std::uint64_t aBackendHash,
                      const std::vector<VmId>& aVms,
                      const VmId& aSelf);

/// Enforces ColdQuota for this VM. Not thread-safe; owned by the gateway.
class ColdStartLimiter
{
public:
  explicit ColdStartLimiter(ColdStartLimits aLimits);

  void SetLimits(const ColdStartLimits& aLimits) { mLimits = aLimits; }
  /// Whether this VM may send one more request to the cold server now. Removes
  /// old entries from aBackend.mColdSends.
  bool MaySend(Backend& aBackend,
               double aRate,
               const std::vector<VmId>& aVms,
               const VmId& aSelf,
               TimePoint aNow) const;

private:
  ColdStartLimits mLimits;
};

} // namespace cranberrywing::gateway
