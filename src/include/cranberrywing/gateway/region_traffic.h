/// \file
/// Counts where requests were planned to run and where they were sent, so that
/// a change of the serving region can be traced to the plan or to what requests
/// met after it.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Why a request was not sent to the region that the plan chose for it.
enum class PlanExit
{
  /// It was sent there.
  None,
  /// The route or the account may not be served there.
  NotAllowed,
  /// No server there could take it: all are tried, unusable or at their quota.
  NoServer,
};

/// Name for logs. Thread-safe.
std::string_view ToString(PlanExit aExit);

/// Requests of one service in one window.
struct RegionTrafficWindow
{
  ServiceId mService;
  std::map<RegionId, std::uint64_t> mPlanned;
  std::map<RegionId, std::uint64_t> mSent;
  std::map<PlanExit, std::uint64_t> mExits;
};

/// Not thread-safe; owned by the gateway.
class RegionTraffic
{
public:
  struct Options
  {
    /// Length of a window; that of RegionPlan::Options::mShiftWindow.
    Duration mWindow = std::chrono::seconds(2);
  };

  explicit RegionTraffic(Options aOptions);

  void OnSent(const ServiceId& aService,
              const RegionId& aPlanned,
              const RegionId& aSent,
              PlanExit aExit);
  /// Returns the counts since the last call, by service, if a window has ended.
  /// Windows end at multiples of their length, at the same time on all VMs.
  std::vector<RegionTrafficWindow> TakeEnded(TimePoint aNow);

private:
  Options mOptions;
  TimePoint mWindowStart{};
  std::map<ServiceId, RegionTrafficWindow> mCounts;
};

} // namespace cranberrywing::gateway
