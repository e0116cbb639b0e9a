#include "cranberrywing/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Averaging time of the demand; short, since hot spots move within seconds.
constexpr double kDemandAveragingSeconds = 0.5;

} // namespace

std::size_t ShareHolderCount(const AccountSettings& aAccount, std::size_t aVms)
{
  // Minimum burst per holder that allows useful lending. With 25, a burst of 50
  // had 2 holders for 3 VMs, and the third VM refused requests that arrived
  // while it was idle (chaos_test, seeds 8, 22 and 23).
  constexpr double kMinBurstPerHolder = 12;
  const auto holders =
    static_cast<std::size_t>(aAccount.mBurst / kMinBurstPerHolder);
  const std::size_t maxHolders =
    std::min<std::size_t>(aVms, std::max(1u, aAccount.mSubsetSize));
  return std::clamp<std::size_t>(
    holders, 1, std::max<std::size_t>(1, maxHolders));
}

RateLimiter::RateLimiter(Options aOptions, RateLimiterHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mRandom(aOptions.mSeed)
  , mNextNumber(mRandom())
{
}

RateLimiter::Account* RateLimiter::Find(const AccountId& aId)
{
  const auto it = mAccounts.find(aId);
  const bool isActive = it != mAccounts.end() && !it->second.mRemovedAt;
  return isActive ? &it->second : nullptr;
}

void RateLimiter::Remove(Account& aAccount, TimePoint aNow)
{
  for (const Waiter& waiter : aAccount.mWaiters) {
    mOutcomes.push_back({ .mRequest = waiter.mRequest, .mAdmitted = false });
    ++mCounters.mRefused;
  }
  aAccount.mWaiters.clear();
  aAccount.mRemovedAt = aNow;
}

void RateLimiter::Apply(
  const std::unordered_map<AccountId, AccountSettings>& aAccounts,
  TimePoint aNow)
{
  for (auto& [id, account] : mAccounts) {
    if (!account.mRemovedAt && !aAccounts.contains(id)) {
      Remove(account, aNow);
    }
  }
  for (const auto& [id, settings] : aAccounts) {
    const auto it = mAccounts.find(id);
    if (it == mAccounts.end()) {
      Account account{ .mBucket =
                         TokenBucket(settings.mRate, settings.mBurst, aNow),
                       .mRate = settings.mRate,
                       .mDemandAt = aNow,
                       .mUtilizationSince = aNow };
      mAccounts.emplace(id, std::move(account));
      continue;
    }
    Account& account = it->second;
    Advance(id, account, aNow);
    account.mBucket.Configure(settings.mRate, settings.mBurst);
    account.mRate = settings.mRate;
    account.mRemovedAt.reset();
  }
}

void RateLimiter::Advance(const AccountId& aId,
                          Account& aAccount,
                          TimePoint aNow)
{
  aAccount.mBucket.Advance(mHooks.mFraction(aId), aNow);
}

double RateLimiter::Demand(const Account& aAccount, TimePoint aNow)
{
  const double elapsed = ToSeconds(aNow - aAccount.mDemandAt);
  return aAccount.mDemand * std::exp(-elapsed / kDemandAveragingSeconds);
}

void RateLimiter::RecordArrival(Account& aAccount, TimePoint aNow)
{
  aAccount.mDemand = Demand(aAccount, aNow) + 1 / kDemandAveragingSeconds;
  aAccount.mDemandAt = aNow;
  ++aAccount.mArrivals;
}

std::size_t RateLimiter::QueueLimit(const Account& aAccount) const
{
  // Longer queues than twice what the whole account may use within the maximum
  // wait can hardly be served. The constant is for accounts with a low rate.
  constexpr double kMinQueue = 16;
  const double served = aAccount.mRate * ToSeconds(mOptions.mMaxWait);
  return static_cast<std::size_t>(kMinQueue + 2 * served);
}

RateDecision RateLimiter::Admit(RequestId aRequest,
                                const AccountId& aAccount,
                                TimePoint aDeadline,
                                TimePoint aNow,
                                EffectList& aOut)
{
  Account* found = Find(aAccount);
  if (found == nullptr) {
    ++mCounters.mRefused;
    return RateDecision::Refused;
  }
  Account& account = *found;
  Advance(aAccount, account, aNow);
  RecordArrival(account, aNow);
  ServeWaiters(account, aNow);
  if (account.mWaiters.empty() && account.mBucket.TryTake()) {
    ++mCounters.mAdmitted;
    RequestTokens(aAccount, account, aNow, aOut);
    return RateDecision::Admitted;
  }
  if (aDeadline <= aNow || account.mWaiters.size() >= QueueLimit(account)) {
    ++mCounters.mRefused;
    return RateDecision::Refused;
  }
  ++mCounters.mWaited;
  account.mWaiters.push_back(
    { .mRequest = aRequest,
      .mExpiry = std::min(aDeadline, aNow + mOptions.mMaxWait) });
  RequestTokens(aAccount, account, aNow, aOut);
  return RateDecision::Waiting;
}

void RateLimiter::ServeWaiters(Account& aAccount, TimePoint aNow)
{
  std::deque<Waiter>& waiters = aAccount.mWaiters;
  // Waiters are in order of arrival, so one that expires early may be behind
  // one that expires late.
  const auto isExpired = [aNow](const Waiter& aWaiter) {
    return aWaiter.mExpiry <= aNow;
  };
  for (const Waiter& waiter : waiters) {
    if (isExpired(waiter)) {
      mOutcomes.push_back({ .mRequest = waiter.mRequest, .mAdmitted = false });
      ++mCounters.mRefused;
    }
  }
  std::erase_if(waiters, isExpired);
  while (!waiters.empty() && aAccount.mBucket.TryTake()) {
    mOutcomes.push_back(
      { .mRequest = waiters.front().mRequest, .mAdmitted = true });
    ++mCounters.mAdmitted;
    waiters.pop_front();
  }
}

void RateLimiter::Cancel(RequestId aRequest)
{
  for (auto& [id, account] : mAccounts) {
    std::erase_if(account.mWaiters, [aRequest](const Waiter& aWaiter) {
      return aWaiter.mRequest == aRequest;
    });
  }
}

std::vector<RateOutcome> RateLimiter::TakeOutcomes()
{
  std::vector<RateOutcome> outcomes;
  outcomes.swap(mOutcomes);
  return outcomes;
}

double RateLimiter::Tokens(const AccountId& aAccount, TimePoint aNow) const
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return 0;
  }
  TokenBucket bucket = it->second.mBucket;
  bucket.Advance(mHooks.mFraction(aAccount), aNow);
  return bucket.TotalTokens();
}

double RateLimiter::TakeUtilization(const AccountId& aAccount)
{
  Account* found = Find(aAccount);
  if (found == nullptr) {
    return 0;
  }
  Account& account = *found;
  const TimePoint now = account.mBucket.LastAdvance();
  const double seconds = ToSeconds(now - account.mUtilizationSince);
  const double allowed = account.mBucket.RefillRate() * seconds;
  const auto arrivals = static_cast<double>(account.mArrivals);
  if (seconds <= 0) {
    return 0;
  }
  account.mArrivals = 0;
  account.mUtilizationSince = now;
  if (allowed > 0) {
    return arrivals / allowed;
  }
  // Without a fraction, any demand exceeds it.
  constexpr double kShortageUtilization = 2;
  return arrivals > 0 ? kShortageUtilization : 0;
}

void RateLimiter::Tick(TimePoint aNow, EffectList& aOut)
{
  ExpireRequests(aNow);
  const Duration retention = WithDriftMargin(mOptions.mTransferValidity);
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    const auto& removedAt = aEntry.second.mRemovedAt;
    return removedAt && aNow - *removedAt > retention;
  });
  for (auto& [id, account] : mAccounts) {
    if (!account.mRemovedAt) {
      Advance(id, account, aNow);
      ServeWaiters(account, aNow);
      RequestTokens(id, account, aNow, aOut);
      ReportEnded(id, account, aNow, aOut);
    }
  }
}

} // namespace cranberrywing
