#include "cranberrywingd/decision_log.h"

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/timeline.h"

namespace cranberrywing::daemon {

namespace {

/// Event of answered requests, the most frequent one.
constexpr std::string_view kAnsweredEvent = "request_answered";

} // namespace

DecisionLog::DecisionLog(Options aOptions, VmId aVm)
  : mOptions(aOptions)
  , mVm(std::move(aVm))
{
  const int flags = fcntl(mOptions.mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(mOptions.mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void DecisionLog::StartSecond(TimePoint aNow)
{
  mSecond = aNow;
  mAnsweredCount = 0;
  mOtherCount = 0;
  if (mDroppedUnreported > 0) {
    const std::string dropped = std::to_string(mDroppedUnreported);
    mDroppedUnreported = 0;
    Append({ "log_lines_dropped", { { "count", dropped } } }, aNow);
  }
}

void DecisionLog::Record(const effect::RecordTimeline& aRecord, TimePoint aNow)
{
  if (aNow - mSecond >= std::chrono::seconds(1)) {
    StartSecond(aNow);
  }
  const bool isAnswered = aRecord.mName == kAnsweredEvent;
  std::uint32_t& count = isAnswered ? mAnsweredCount : mOtherCount;
  const std::uint32_t limit = isAnswered ? mOptions.mAnsweredLinesPerSecond
                                         : mOptions.mOtherLinesPerSecond;
  if (count >= limit) {
    ++mDroppedUnreported;
    ++mDroppedTotal;
    return;
  }
  ++count;
  Append(aRecord, aNow);
}

void DecisionLog::Append(const effect::RecordTimeline& aRecord, TimePoint)
{
  const std::string line = FormatLogLine(aRecord);
  if (mBuffer.size() + line.size() > mOptions.mBufferBytes) {
    ++mDroppedUnreported;
    ++mDroppedTotal;
    return;
  }
  mBuffer +=
    "time_ms=" + std::to_string(WallMilliseconds()) + " vm=" + mVm.mName + " ";
  mBuffer += line;
  mBuffer += '\n';
}

void DecisionLog::Flush()
{
  while (!mBuffer.empty()) {
    const ssize_t n =
      write(mOptions.mDescriptor, mBuffer.data(), mBuffer.size());
    if (n <= 0) {
      return;
    }
    mBuffer.erase(0, static_cast<std::size_t>(n));
  }
}

} // namespace cranberrywing::daemon
