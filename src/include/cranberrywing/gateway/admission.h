/// \file
/// Who is served when a service is short of room.
///
/// Pattern: arrivals above the capacity of a service. A request is refused at
/// once if no server can answer it in time. Of the rest, the less urgent are
/// refused at shorter queues, so that the queues stay short enough for the
/// urgent ones to be on time. Longer queues would serve no more requests, only
/// later.
#pragma once

#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

struct AdmissionRequest
{
  /// 0 is the most urgent.
  int mPriority = 0;
  /// Time since the request arrived.
  Duration mElapsed{};
  /// Time until the final answer is due.
  Duration mTimeLeft{};
  Duration mTargetLatency{};
  /// Expected wait in the server's queue.
  Duration mWait{};
  /// Expected wait and work.
  Duration mTotal{};
};

struct AdmissionDecision
{
  bool mIsAdmitted = false;
  /// Time after which room is expected.
  Duration mRetryAfter{};
};

/// Thread-safe.
AdmissionDecision DecideAdmission(const AdmissionRequest& aRequest);

} // namespace cranberrywing::gateway
