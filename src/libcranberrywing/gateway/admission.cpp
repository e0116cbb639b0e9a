#include "cranberrywing/gateway/admission.h"

#include <algorithm>

#include "duration_math.h"

namespace cranberrywing::gateway {

using detail::Scale;

namespace {

/// Longest wait in a server's queue, as a part of the target latency.
constexpr double kNormalWaitPart = 0.8;
constexpr double kLowWaitPart = 0.5;
/// Network time that an expectation of the server's work leaves out.
constexpr Duration kNetworkMargin = std::chrono::milliseconds(30);

} // namespace

AdmissionDecision DecideAdmission(const AdmissionRequest& aRequest)
{
  const Duration work = aRequest.mTotal - aRequest.mWait;
  Duration limit = aRequest.mTimeLeft - kNetworkMargin - work;
  if (aRequest.mPriority > 0) {
    const double part =
      aRequest.mPriority == 1 ? kNormalWaitPart : kLowWaitPart;
    limit = std::min(limit, Scale(aRequest.mTargetLatency, part));
  }
  if (aRequest.mWait <= limit) {
    return { .mIsAdmitted = true };
  }
  return { .mRetryAfter =
             std::max(aRequest.mWait - limit, aRequest.mWait / 2) };
}

} // namespace cranberrywing::gateway
