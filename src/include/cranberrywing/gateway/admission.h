/// \file
/// Admission control: load shedding by priority when a service is overloaded.
///
/// A request is refused at once if the expected queueing and service time
/// exceed its deadline. The remaining requests are refused above a queueing
/// time that is lower for less urgent priorities, so that queues stay short
/// enough for urgent requests to meet their deadlines. Longer queues would not
/// raise the throughput, only the latency.
#pragma once

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

struct AdmissionRequest
{
  /// 0 is the most urgent; larger values are shed earlier.
  int mPriority = 0;
  /// Time since the request arrived.
  Duration mElapsed{};
  /// Time until the final answer is due.
  Duration mTimeLeft{};
  Duration mTargetLatency{};
  /// Expected queueing time at the selected backend server.
  Duration mWait{};
  /// Expected queueing time plus service time.
  Duration mTotal{};
};

struct AdmissionDecision
{
  bool mIsAdmitted = false;
  /// If refused, the time after which the queue is expected to be short enough.
  Duration mRetryAfter{};
};

/// Decides whether a request may be sent to the selected server. Thread-safe.
AdmissionDecision DecideAdmission(const AdmissionRequest& aRequest);

} // namespace cranberrywing::gateway
