#include "cranberrywing/gateway/region_traffic.h"

#include <utility>

namespace cranberrywing::gateway {

std::string_view ToString(PlanExit aExit)
{
  switch (aExit) {
    case PlanExit::None:
      return "none";
    case PlanExit::NotAllowed:
      return "not_allowed";
    case PlanExit::NoServer:
      return "no_server";
  }
  return "none";
}

RegionTraffic::RegionTraffic(Options aOptions)
  : mOptions(aOptions)
{
}

void RegionTraffic::OnSent(const ServiceId& aService,
                           const RegionId& aPlanned,
                           const RegionId& aSent,
                           PlanExit aExit)
{
  RegionTrafficWindow& window = mCounts[aService];
  ++window.mPlanned[aPlanned];
  ++window.mSent[aSent];
  if (aExit != PlanExit::None) {
    ++window.mExits[aExit];
  }
}

std::vector<RegionTrafficWindow> RegionTraffic::TakeEnded(TimePoint aNow)
{
  const TimePoint start{ aNow.time_since_epoch() / mOptions.mWindow *
                         mOptions.mWindow };
  if (start == mWindowStart) {
    return {};
  }
  mWindowStart = start;
  std::vector<RegionTrafficWindow> ended;
  for (auto& [service, window] : std::exchange(mCounts, {})) {
    ended.push_back(std::move(window));
    ended.back().mService = service;
  }
  return ended;
}

} // namespace cranberrywing::gateway
