/// \file
/// Weighted max-min fairness between client accounts when a service is short
/// of capacity: deficit round robin queues with deadlines (design 3.8).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

struct QueuedRequest
{
  RequestId mRequest{};
  ServiceId mService;
  AccountId mAccount;
  TimePoint mDeadline{};
};

/// Not thread-safe; owned by the reducer.
class FairQueue
{
public:
  struct Options
  {
    /// Most requests that may wait per service.
    std::size_t mQueueLimit = 10'000;
  };

  explicit FairQueue(Options aOptions);

  /// Sets weights and each service's concurrency limit.
  void Apply(const SettingsSnapshot& aSettings);

  /// Queues a request. False if it cannot be served before its deadline at
  /// the present rate of service, or if the queue is full: refuse it.
  bool Push(const QueuedRequest& aRequest, TimePoint aNow);
  /// The next request of the service to run, if its concurrency allows one;
  /// it counts as running until Finish.
  std::optional<QueuedRequest> Pop(const ServiceId& aService, TimePoint aNow);
  /// A running request of the service has ended.
  void Finish(const ServiceId& aService, TimePoint aNow);
  /// Forgets a waiting request; false if it does not wait.
  bool Cancel(RequestId aRequest);
  /// Removes and returns requests that can no longer finish in time.
  std::vector<QueuedRequest> TakeExpired(TimePoint aNow);

  std::size_t Waiting(const ServiceId& aService) const;
  std::size_t Running(const ServiceId& aService) const;

private:
  Options mOptions;
};

} // namespace cranberrywing
