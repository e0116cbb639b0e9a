// The planned stop of a VM.
#include <algorithm>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway {

namespace {

/// The process exits at the latest this fraction of the stop limit before it
/// would be killed, which would cut answers that are being sent.
constexpr int kStopMarginDivisor = 8;

/// Multiple of a route's tail latency that a repeatable request needs usually.
constexpr int kUsualTimeFactor = 2;

/// The platform excuses that a request is cut by the end of the process only if
/// it was sent this long after the stop request at most.
constexpr Duration kExcusedSendTime = std::chrono::seconds(3);

/// Time for which a request may wait until the event loop handles it, beyond
/// what mStoppingSince allows for.
constexpr Duration kMaxLoopDelay = std::chrono::milliseconds(250);

} // namespace

bool Gateway::MayFinishBeforeExit(const Request& aRequest) const
{
  const Duration age = mNow - *mStoppingSince;
  if (age >= mOptions.mAcceptTimeAfterStop) {
    return false;
  }
  // The outcome of a request that must not be repeated may not remain unknown,
  // so its whole time has to be left. Others need the usual time only, as long
  // as it is excused that one which takes longer is cut.
  TimePoint end = aRequest.mDeadline;
  if (aRequest.mRoute->mIsIdempotent &&
      age < kExcusedSendTime - kMaxLoopDelay) {
    Duration usual{};
    for (const WeightedService& each : aRequest.mRoute->mServices) {
      usual = std::max(
        usual,
        mServiceTimes.Estimate(*aRequest.mRoute, each.mService).mTailLatency);
    }
    end = std::min(end, mNow + kUsualTimeFactor * usual);
  }
  return end <= ExitTime();
}

TimePoint Gateway::ExitTime() const
{
  return *mStoppingSince + mOptions.mStopLimit -
         mOptions.mStopLimit / kStopMarginDivisor;
}

void Gateway::AdvanceShutdown()
{
  if (!mStoppingSince || mHasExited) {
    return;
  }
  const Duration age = mNow - *mStoppingSince;
  const bool isQuiet =
    age >= mOptions.mAcceptTimeAfterStop && mRequests.empty();
  if (age >= mOptions.mAcceptTimeAfterStop && !mHasClosedCallerConnections) {
    mHasClosedCallerConnections = true;
    mEffects.push_back(effect::CloseCallerConnections{});
  }
  if (isQuiet || mNow >= ExitTime()) {
    mHasExited = true;
    Record("stopped", { { "in_flight", std::to_string(mRequests.size()) } });
    GiveUpAllRequests();
    mEffects.push_back(effect::Exit{});
  }
}

void Gateway::GiveUpAllRequests()
{
  std::vector<RequestId> ids;
  ids.reserve(mRequests.size());
  for (const auto& [id, request] : mRequests) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const RequestId id : ids) {
    Request& request = mRequests.at(id);
    EndWithoutAnswer(request);
    RefuseUnanswered(request,
                     ResultCode::ShuttingDown,
                     "no answer from a backend server before the VM exits");
  }
}

} // namespace cranberrywing::gateway
