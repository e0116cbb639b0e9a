#include "cranberrywing/gateway/admission.h"

#include <algorithm>

#include "duration_math.h"

namespace cranberrywing::gateway {

using detail::Scale;

namespace {

/// Maximum queueing time at a server, as a fraction of the target latency, for
/// requests of normal and of low priority.
constexpr double kNormalWaitFraction = 0.8;
constexpr double kLowWaitFraction = 0.5;
/// Network time, which the expected service time does not include.
constexpr Duration kNetworkMargin = std::chrono::milliseconds(30);

} // namespace

AdmissionDecision DecideAdmission(const AdmissionRequest& aRequest)
{
  const Duration serviceTime = aRequest.mTotal - aRequest.mWait;
  Duration limit = aRequest.mTimeLeft - kNetworkMargin - serviceTime;
  if (aRequest.mPriority > 0) {
    const double fraction =
      aRequest.mPriority == 1 ? kNormalWaitFraction : kLowWaitFraction;
    limit = std::min(limit, Scale(aRequest.mTargetLatency, fraction));
  }
  if (aRequest.mWait <= limit) {
    return { .mIsAdmitted = true };
  }
  return { .mRetryAfter =
             std::max(aRequest.mWait - limit, aRequest.mWait / 2) };
}

} // namespace cranberrywing::gateway
