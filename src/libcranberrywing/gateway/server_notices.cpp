#include "cranberrywing/gateway/server_notices.h"

#include <algorithm>

namespace cranberrywing::gateway {

std::string_view ToString(NoticeSource aSource)
{
  switch (aSource) {
    case NoticeSource::Answer:
      return "answer";
    case NoticeSource::HealthCheck:
      return "probe";
    case NoticeSource::OtherVm:
      return "peer";
  }
  return "unknown";
}

namespace {

const Notice* FindIn(const std::unordered_map<std::uint64_t, Notice>& aNotices,
                     std::uint64_t aLifetime)
{
  const auto it = aNotices.find(aLifetime);
  return it == aNotices.end() ? nullptr : &it->second;
}

} // namespace

ServerNotices::ServerNotices(Options aOptions)
  : mOptions(aOptions)
{
}

bool ServerNotices::OnLeaving(std::uint64_t aLifetime,
                              NoticeSource aSource,
                              TimePoint aNow)
{
  return mLeaving.try_emplace(aLifetime, Notice{ aNow, aSource }).second;
}

bool ServerNotices::OnWait(std::uint64_t aLifetime,
                           Duration aWait,
                           NoticeSource aSource,
                           TimePoint aNow)
{
  Notice& notice = mWaits[aLifetime];
  const bool isNew = notice.mTime <= aNow;
  const TimePoint end = aNow + std::min(aWait, mOptions.mMaxWait);
  if (end > notice.mTime) {
    notice = { end, aSource };
  }
  return isNew;
}

bool ServerNotices::IsLeaving(std::uint64_t aLifetime) const
{
  return mLeaving.contains(aLifetime);
}

TimePoint ServerNotices::WaitEnd(std::uint64_t aLifetime) const
{
  const Notice* const notice = FindWait(aLifetime);
  return notice ? notice->mTime : TimePoint{};
}

const Notice* ServerNotices::FindLeaving(std::uint64_t aLifetime) const
{
  return FindIn(mLeaving, aLifetime);
}

const Notice* ServerNotices::FindWait(std::uint64_t aLifetime) const
{
  return FindIn(mWaits, aLifetime);
}

void ServerNotices::Tick(TimePoint aNow)
{
  std::erase_if(mLeaving, [&](const auto& aEntry) {
    return aNow - aEntry.second.mTime > mOptions.mLeavingRetention;
  });
  std::erase_if(
    mWaits, [&](const auto& aEntry) { return aEntry.second.mTime <= aNow; });
}

} // namespace cranberrywing::gateway
