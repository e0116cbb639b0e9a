#include "cranberrywing/gateway/admission.h"

#include <algorithm>

namespace cranberrywing::gateway {

namespace {

/// Part of the time between the target and the deadline that a request of
/// each priority may use up by waiting.
constexpr double kLatePartUrgent = 1.0;
constexpr double kLatePartNormal = 0.5;
constexpr double kLatePartLow = 0.15;
/// Network time that an expectation of the server's work leaves out.
constexpr Duration kNetworkMargin = std::chrono::milliseconds(30);

double LatePart(int aPriority)
{
  if (aPriority <= 0) {
    return kLatePartUrgent;
  }
  return aPriority == 1 ? kLatePartNormal : kLatePartLow;
}

} // namespace

AdmissionDecision DecideAdmission(const AdmissionRequest& aRequest)
{
  const Duration onTime =
    std::max(Duration::zero(), aRequest.mTargetLatency - aRequest.mElapsed);
  const Duration late =
    std::max(Duration::zero(), aRequest.mTimeLeft - kNetworkMargin - onTime);
  const Duration limit =
    std::min(onTime, aRequest.mTimeLeft - kNetworkMargin) +
    Duration(static_cast<Duration::rep>(static_cast<double>(late.count()) *
                                        LatePart(aRequest.mPriority)));
  // A server without a queue takes what can still be answered in time: the
  // slot would stay idle otherwise.
  if (aRequest.mTotal <= limit ||
      (aRequest.mWait <= Duration::zero() &&
       aRequest.mTotal <= aRequest.mTimeLeft - kNetworkMargin)) {
    return { .mIsAdmitted = true };
  }
  return { .mRetryAfter =
             std::max(aRequest.mTotal - limit, aRequest.mWait / 2) };
}

} // namespace cranberrywing::gateway
