#include "cranberrywing/gateway/server_notices.h"

#include <algorithm>

namespace cranberrywing::gateway {

ServerNotices::ServerNotices(Options aOptions)
  : mOptions(aOptions)
{
}

bool ServerNotices::OnLeaving(std::uint64_t aLifetime, TimePoint aNow)
{
  return mLeaving.try_emplace(aLifetime, aNow).second;
}

bool ServerNotices::OnWait(std::uint64_t aLifetime,
                           Duration aWait,
                           TimePoint aNow)
{
  TimePoint& end = mWaitEnds[aLifetime];
  const bool isNew = end <= aNow;
  end = std::max(end, aNow + std::min(aWait, mOptions.mMaxWait));
  return isNew;
}

bool ServerNotices::IsLeaving(std::uint64_t aLifetime) const
{
  return mLeaving.contains(aLifetime);
}

TimePoint ServerNotices::WaitEnd(std::uint64_t aLifetime) const
{
  const auto it = mWaitEnds.find(aLifetime);
  return it == mWaitEnds.end() ? TimePoint{} : it->second;
}

void ServerNotices::Tick(TimePoint aNow)
{
  std::erase_if(mLeaving, [&](const auto& aEntry) {
    return aNow - aEntry.second > mOptions.mLeavingRetention;
  });
  std::erase_if(mWaitEnds,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

} // namespace cranberrywing::gateway
