#include "cranberrywing/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Time over which demand is averaged; short, since hot spots move within
/// seconds.
constexpr double kDemandSeconds = 0.5;

} // namespace

std::size_t ShareHolderCount(const AccountSettings& aAccount, std::size_t aVms)
{
  // Burst below which a holder's part is too small to be lent usefully. With
  // 25, a burst of 50 had 2 holders for 3 VMs, and the third VM refused
  // requests that came while it was idle (chaos_test, seeds 8, 22 and 23).
  constexpr double kLeastPart = 12;
  const auto parts = static_cast<std::size_t>(aAccount.mBurst / kLeastPart);
  const std::size_t most =
    std::min<std::size_t>(aVms, std::max(1u, aAccount.mSubsetSize));
  return std::clamp<std::size_t>(parts, 1, std::max<std::size_t>(1, most));
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
  const bool isThere = it != mAccounts.end() && !it->second.mRemovedAt;
  return isThere ? &it->second : nullptr;
}

void RateLimiter::Remove(Account& aAccount, TimePoint aNow)
{
  for (const Waiter& waiter : aAccount.mWaiters) {
    mDecided.push_back({ .mRequest = waiter.mRequest, .mAdmitted = false });
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
                       .mUseSince = aNow };
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
  return aAccount.mDemand * std::exp(-elapsed / kDemandSeconds);
}

void RateLimiter::CountArrival(Account& aAccount, TimePoint aNow)
{
  aAccount.mDemand = Demand(aAccount, aNow) + 1 / kDemandSeconds;
  aAccount.mDemandAt = aNow;
  ++aAccount.mArrivals;
}

std::size_t RateLimiter::QueueLimit(const Account& aAccount) const
{
  // More than twice what the whole account may use in the longest wait can
  // hardly be served; the constant serves accounts of a low rate.
  constexpr double kFewest = 16;
  const double served = aAccount.mRate * ToSeconds(mOptions.mMaxWait);
  return static_cast<std::size_t>(kFewest + 2 * served);
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
  CountArrival(account, aNow);
  Serve(account, aNow);
  if (account.mWaiters.empty() && account.mBucket.Take()) {
    ++mCounters.mAdmitted;
    AskPeers(aAccount, account, aNow, aOut);
    return RateDecision::Admitted;
  }
  if (aDeadline <= aNow || account.mWaiters.size() >= QueueLimit(account)) {
    ++mCounters.mRefused;
    return RateDecision::Refused;
  }
  ++mCounters.mWaited;
  account.mWaiters.push_back(
    { .mRequest = aRequest,
      .mUntil = std::min(aDeadline, aNow + mOptions.mMaxWait) });
  AskPeers(aAccount, account, aNow, aOut);
  return RateDecision::Waiting;
}

void RateLimiter::Serve(Account& aAccount, TimePoint aNow)
{
  std::deque<Waiter>& waiters = aAccount.mWaiters;
  // A waiter with an early deadline may stand behind one with a late one.
  const auto isOver = [aNow](const Waiter& aWaiter) {
    return aWaiter.mUntil <= aNow;
  };
  for (const Waiter& waiter : waiters) {
    if (isOver(waiter)) {
      mDecided.push_back({ .mRequest = waiter.mRequest, .mAdmitted = false });
      ++mCounters.mRefused;
    }
  }
  std::erase_if(waiters, isOver);
  while (!waiters.empty() && aAccount.mBucket.Take()) {
    mDecided.push_back(
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
  std::vector<RateOutcome> decided;
  decided.swap(mDecided);
  return decided;
}

double RateLimiter::Tokens(const AccountId& aAccount, TimePoint aNow) const
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return 0;
  }
  TokenBucket bucket = it->second.mBucket;
  bucket.Advance(mHooks.mFraction(aAccount), aNow);
  return bucket.Total();
}

double RateLimiter::TakeUtilization(const AccountId& aAccount)
{
  Account* found = Find(aAccount);
  if (found == nullptr) {
    return 0;
  }
  Account& account = *found;
  const TimePoint now = account.mBucket.LastAdvance();
  const double seconds = ToSeconds(now - account.mUseSince);
  const double allowed = account.mBucket.RefillRate() * seconds;
  const auto wanted = static_cast<double>(account.mArrivals);
  if (seconds <= 0) {
    return 0;
  }
  account.mArrivals = 0;
  account.mUseSince = now;
  if (allowed > 0) {
    return wanted / allowed;
  }
  // Without a fraction any demand is more than all of it.
  constexpr double kShort = 2;
  return wanted > 0 ? kShort : 0;
}

void RateLimiter::Tick(TimePoint aNow, EffectList& aOut)
{
  ForgetAsks(aNow);
  const Duration kept = WithDriftMargin(mOptions.mTransferValidity);
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    const auto& removedAt = aEntry.second.mRemovedAt;
    return removedAt && aNow - *removedAt > kept;
  });
  for (auto& [id, account] : mAccounts) {
    if (!account.mRemovedAt) {
      Advance(id, account, aNow);
      Serve(account, aNow);
      AskPeers(id, account, aNow, aOut);
      TellEnded(id, account, aNow, aOut);
    }
  }
}

} // namespace cranberrywing
