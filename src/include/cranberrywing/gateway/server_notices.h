/// \file
/// What backend servers ask of this VM's traffic: that they are leaving, or
/// that nothing be sent to them for some time.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Where a notice was read.
enum class NoticeSource : std::uint8_t
{
  Answer,
  HealthCheck,
  OtherVm,
};

/// Name in logs and metrics.
std::string_view ToString(NoticeSource aSource);

struct Notice
{
  /// When the server was first known to leave, or the end of its wait.
  TimePoint mTime{};
  NoticeSource mSource = NoticeSource::Answer;
};

/// Notices by server lifetime (Backend::mLifetimeHash), so that they bind no
/// later process with the same identifier or address, and hold on if the
/// server's registration lapses and comes back. Not thread-safe; owned by
/// BackendPool.
class ServerNotices
{
public:
  struct Options
  {
    /// Upper bound of a wait, against values that would put a server out of use
    /// for good.
    Duration mMaxWait = std::chrono::seconds(60);
    /// Time after which a notice of leaving is dropped; a server exits long
    /// before.
    Duration mLeavingRetention = std::chrono::hours(1);
  };

  explicit ServerNotices(Options aOptions);

  /// Records that the server is leaving, which lasts for its lifetime. Returns
  /// false if that was known.
  bool OnLeaving(std::uint64_t aLifetime, NoticeSource aSource, TimePoint aNow);
  /// Records that nothing is to be sent to the server for aWait. A wait never
  /// shortens an earlier one. Returns whether the server did not wait before.
  bool OnWait(std::uint64_t aLifetime,
              Duration aWait,
              NoticeSource aSource,
              TimePoint aNow);
  bool IsLeaving(std::uint64_t aLifetime) const;
  /// Time until which nothing may be sent; in the past if no wait is known.
  TimePoint WaitEnd(std::uint64_t aLifetime) const;
  /// Drops notices that have ended. Precondition: aNow never decreases.
  void Tick(TimePoint aNow);

  /// The notice that the server is leaving, or null. Valid until the next call
  /// of a method that is not const.
  const Notice* FindLeaving(std::uint64_t aLifetime) const;
  /// The same for its wait.
  const Notice* FindWait(std::uint64_t aLifetime) const;

private:
  Options mOptions;
  std::unordered_map<std::uint64_t, Notice> mLeaving;
  std::unordered_map<std::uint64_t, Notice> mWaits;
};

} // namespace cranberrywing::gateway
