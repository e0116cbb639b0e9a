#include "cranberrywingd/decision_log.h"

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

#include "cranberrywingd/event_sink.h"
#include "cranberrywingd/timeline.h"

namespace cranberrywing::daemon {

namespace {

constexpr std::string_view kUsualEvent = "request_answered";

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
  mUsual = 0;
  mOther = 0;
  if (mDropped > 0) {
    const std::string dropped = std::to_string(mDropped);
    mDropped = 0;
    Append({ "log_lines_dropped", { { "count", dropped } } }, aNow);
  }
}

void DecisionLog::Record(const effect::RecordTimeline& aRecord, TimePoint aNow)
{
  if (aNow - mSecond >= std::chrono::seconds(1)) {
    StartSecond(aNow);
  }
  const bool isUsual = aRecord.mName == kUsualEvent;
  std::uint32_t& count = isUsual ? mUsual : mOther;
  const std::uint32_t limit =
    isUsual ? mOptions.mUsualLines : mOptions.mOtherLines;
  if (count >= limit) {
    ++mDropped;
    ++mDroppedInAll;
    return;
  }
  ++count;
  Append(aRecord, aNow);
}

void DecisionLog::Append(const effect::RecordTimeline& aRecord, TimePoint)
{
  const std::string line = FormatLogLine(aRecord);
  if (mBuffer.size() + line.size() > mOptions.mBufferBytes) {
    ++mDropped;
    ++mDroppedInAll;
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
