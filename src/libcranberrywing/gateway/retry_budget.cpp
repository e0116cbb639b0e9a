#include "cranberrywing/gateway/retry_budget.h"

#include <algorithm>

namespace cranberrywing::gateway {

RetryBudget::RetryBudget(Options aOptions)
  : mOptions(aOptions)
{
}

void RetryBudget::Expire(std::deque<TimePoint>& aTimes, TimePoint aNow) const
{
  while (!aTimes.empty() && aNow - aTimes.front() > mOptions.mWindow) {
    aTimes.pop_front();
  }
}

void RetryBudget::OnRequest(const ServiceId& aService, TimePoint aNow)
{
  Service& service = mServices[aService];
  Expire(service.mRequests, aNow);
  service.mRequests.push_back(aNow);
}

bool RetryBudget::TryRetry(const ServiceId& aService,
                           std::size_t aVms,
                           TimePoint aNow)
{
  Service& service = mServices[aService];
  Expire(service.mRequests, aNow);
  Expire(service.mRetries, aNow);
  const double requests = static_cast<double>(service.mRequests.size());
  const double vms = static_cast<double>(std::max<std::size_t>(1, aVms));
  const double budget = mOptions.mUtilization * (mOptions.mRatio * requests +
                                                 mOptions.mAllowance / vms);
  if (static_cast<double>(service.mRetries.size()) + 1 > budget) {
    return false;
  }
  service.mRetries.push_back(aNow);
  return true;
}

} // namespace cranberrywing::gateway
