#include "cranberrywing/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Requests count 1 each; rounding errors of fractional quanta stay below.
constexpr double kRequestCost = 1.0 - 1e-9;
/// Smallest part of a round; bounds the rounds that one Pop goes through.
constexpr double kLeastQuantum = 0.01;

constexpr Duration kSteerInterval = std::chrono::milliseconds(200);

std::size_t CountConnections(const ServiceSettings& aService)
{
  std::size_t n = 0;
  for (const BackendSettings& backend : aService.mBackends) {
    n += backend.mDraining ? 0 : backend.mConnections;
  }
  return n;
}

} // namespace

template<class Visit>
void FairQueue::ForEachActive(const ServiceQueue& aService, Visit aVisit)
{
  const AccountQueue* account = aService.mTurn;
  if (account == nullptr) {
    return;
  }
  do {
    aVisit(*account);
    account = account->mNext;
  } while (account != aService.mTurn);
}

FairQueue::FairQueue(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void FairQueue::Apply(const SettingsSnapshot& aSettings)
{
  double greatest = 0;
  for (const auto& [id, account] : aSettings.mAccounts) {
    greatest = std::max(greatest, account.mWeight);
  }
  greatest = greatest > 0 ? greatest : 1;
  mDefaultQuantum = std::clamp(1 / greatest, kLeastQuantum, 1.0);
  mQuanta.clear();
  for (const auto& [id, account] : aSettings.mAccounts) {
    mQuanta[id] = std::clamp(account.mWeight / greatest, kLeastQuantum, 1.0);
  }
  for (auto& [id, service] : mServices) {
    service.mLimit.SetCeiling(0);
    for (auto& [accountId, account] : service.mAccounts) {
      const auto it = mQuanta.find(accountId);
      account.mQuantum = it == mQuanta.end() ? mDefaultQuantum : it->second;
    }
  }
  for (const auto& [id, service] : aSettings.mServices) {
    FindService(id).mLimit.SetCeiling(CountConnections(service));
  }
}

bool FairQueue::Push(const QueuedRequest& aRequest, TimePoint aNow)
{
  ServiceQueue& service = FindService(aRequest.mService);
  if (service.mWaiting >= mOptions.mQueueLimit) {
    return false;
  }
  AccountQueue& account = FindAccount(service, aRequest.mAccount);
  if (!CanFinish(service, account, aRequest.mDeadline, aNow)) {
    return false;
  }
  const Slot slot = TakeSlot();
  if (!mSlots.try_emplace(aRequest.mRequest, slot).second) {
    mFreeSlots.push_back(slot);
    return false;
  }
  mEntries[slot].mRequest = aRequest;
  Append(service, account, slot);
  mEarliestDeadline = std::min(mEarliestDeadline, aRequest.mDeadline);
  return true;
}

std::optional<QueuedRequest> FairQueue::Pop(const ServiceId& aService,
                                            TimePoint aNow)
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return std::nullopt;
  }
  ServiceQueue& service = it->second;
  if (service.mTurn == nullptr || !service.mLimit.MayStart()) {
    return std::nullopt;
  }
  AccountQueue& account = NextAccount(service);
  account.mDeficit = std::max(0.0, account.mDeficit - 1);
  // Quanta are at most one request, so each turn serves at most one.
  service.mTurn = account.mNext;
  service.mLimit.OnStart(aNow);
  return Remove(account.mFirst);
}

void FairQueue::Finish(const ServiceId& aService, TimePoint aNow)
{
  const auto it = mServices.find(aService);
  if (it != mServices.end()) {
    it->second.mLimit.OnFinish(aNow);
  }
}

bool FairQueue::Cancel(RequestId aRequest)
{
  const auto it = mSlots.find(aRequest);
  if (it == mSlots.end()) {
    return false;
  }
  Remove(it->second);
  return true;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint aNow)
{
  Steer(aNow);
  std::vector<QueuedRequest> expired;
  if (mSlots.empty()) {
    mEarliestDeadline = TimePoint::max();
    return expired;
  }
  Duration longest{};
  for (const auto& [id, service] : mServices) {
    if (service.mWaiting > 0) {
      longest = std::max(longest, service.mLimit.Latency(aNow));
    }
  }
  if (mEarliestDeadline > aNow + longest) {
    return expired;
  }
  mEarliestDeadline = TimePoint::max();
  for (Slot slot = 0; slot < mEntries.size(); ++slot) {
    const Entry& entry = mEntries[slot];
    if (entry.mService == nullptr) {
      continue;
    }
    const TimePoint deadline = entry.mRequest.mDeadline;
    if (deadline < aNow + entry.mService->mLimit.Latency(aNow)) {
      expired.push_back(Remove(slot));
    } else {
      mEarliestDeadline = std::min(mEarliestDeadline, deadline);
    }
  }
  return expired;
}

void FairQueue::Steer(TimePoint aNow)
{
  if (!mOptions.mUtilization || aNow < mNextSteer) {
    return;
  }
  mNextSteer = aNow + kSteerInterval;
  for (auto& [id, service] : mServices) {
    service.mLimit.OnUtilization(
      mOptions.mUtilization(id, aNow), CountBacklogged(service), aNow);
  }
}

double FairQueue::CountBacklogged(const ServiceQueue& aService)
{
  double weights = 0;
  std::size_t active = 0;
  ForEachActive(aService, [&](const AccountQueue&) { ++active; });
  ForEachActive(aService, [&](const AccountQueue& aAccount) {
    // Waiting requests that take longer than one round of all that run.
    if (aAccount.mWaiting * active >= aService.mLimit.Limit()) {
      weights += aAccount.mQuantum;
    }
  });
  return weights;
}

std::size_t FairQueue::Waiting(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mWaiting;
}

std::size_t FairQueue::Running(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mLimit.Running();
}

std::size_t FairQueue::Limit(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mLimit.Limit();
}

FairQueue::ServiceQueue& FairQueue::FindService(const ServiceId& aService)
{
  return mServices.try_emplace(aService, mOptions.mConcurrency).first->second;
}

FairQueue::AccountQueue& FairQueue::FindAccount(ServiceQueue& aService,
                                                const AccountId& aAccount)
{
  const auto [it, isNew] = aService.mAccounts.try_emplace(aAccount);
  if (isNew) {
    const auto quantum = mQuanta.find(aAccount);
    it->second.mQuantum =
      quantum == mQuanta.end() ? mDefaultQuantum : quantum->second;
  }
  return it->second;
}

FairQueue::Slot FairQueue::TakeSlot()
{
  if (mFreeSlots.empty()) {
    mEntries.emplace_back();
    return static_cast<Slot>(mEntries.size() - 1);
  }
  const Slot slot = mFreeSlots.back();
  mFreeSlots.pop_back();
  return slot;
}

void FairQueue::Append(ServiceQueue& aService,
                       AccountQueue& aAccount,
                       Slot aSlot)
{
  Entry& entry = mEntries[aSlot];
  entry.mService = &aService;
  entry.mAccount = &aAccount;
  entry.mPrevious = aAccount.mLast;
  entry.mNext = kNoSlot;
  if (aAccount.mLast == kNoSlot) {
    aAccount.mFirst = aSlot;
    Activate(aService, aAccount);
  } else {
    mEntries[aAccount.mLast].mNext = aSlot;
  }
  aAccount.mLast = aSlot;
  ++aAccount.mWaiting;
  ++aService.mWaiting;
}

QueuedRequest FairQueue::Remove(Slot aSlot)
{
  Entry& entry = mEntries[aSlot];
  ServiceQueue& service = *entry.mService;
  AccountQueue& account = *entry.mAccount;
  Slot& fromPrevious = entry.mPrevious == kNoSlot
                         ? account.mFirst
                         : mEntries[entry.mPrevious].mNext;
  Slot& fromNext =
    entry.mNext == kNoSlot ? account.mLast : mEntries[entry.mNext].mPrevious;
  fromPrevious = entry.mNext;
  fromNext = entry.mPrevious;
  --account.mWaiting;
  --service.mWaiting;
  if (account.mWaiting == 0) {
    Deactivate(service, account);
  }
  entry.mService = nullptr;
  entry.mAccount = nullptr;
  mSlots.erase(entry.mRequest.mRequest);
  mFreeSlots.push_back(aSlot);
  return std::move(entry.mRequest);
}

void FairQueue::Activate(ServiceQueue& aService, AccountQueue& aAccount)
{
  aAccount.mDeficit = 0;
  if (aService.mTurn == nullptr) {
    aAccount.mPrevious = &aAccount;
    aAccount.mNext = &aAccount;
    aService.mTurn = &aAccount;
    return;
  }
  AccountQueue& after = *aService.mTurn;
  aAccount.mNext = &after;
  aAccount.mPrevious = after.mPrevious;
  after.mPrevious->mNext = &aAccount;
  after.mPrevious = &aAccount;
}

void FairQueue::Deactivate(ServiceQueue& aService, AccountQueue& aAccount)
{
  if (aService.mTurn == &aAccount) {
    aService.mTurn = aAccount.mNext == &aAccount ? nullptr : aAccount.mNext;
  }
  aAccount.mPrevious->mNext = aAccount.mNext;
  aAccount.mNext->mPrevious = aAccount.mPrevious;
  aAccount.mPrevious = nullptr;
  aAccount.mNext = nullptr;
}

FairQueue::AccountQueue& FairQueue::NextAccount(ServiceQueue& aService)
{
  while (true) {
    AccountQueue& account = *aService.mTurn;
    if (account.mNext == &account || account.mDeficit >= kRequestCost) {
      return account;
    }
    account.mDeficit += account.mQuantum;
    if (account.mDeficit >= kRequestCost) {
      return account;
    }
    aService.mTurn = account.mNext;
  }
}

bool FairQueue::CanFinish(const ServiceQueue& aService,
                          const AccountQueue& aAccount,
                          TimePoint aDeadline,
                          TimePoint aNow) const
{
  const ConcurrencyLimit& limit = aService.mLimit;
  const Duration latency = limit.Latency(aNow);
  if (aService.mWaiting == 0 && limit.MayStart()) {
    return aNow < aDeadline;
  }
  const double rounds =
    std::ceil(static_cast<double>(aAccount.mWaiting + 1) / aAccount.mQuantum);
  std::size_t ahead = aAccount.mWaiting;
  ForEachActive(aService, [&](const AccountQueue& aOther) {
    if (&aOther != &aAccount) {
      const double served = rounds * aOther.mQuantum;
      ahead += static_cast<std::size_t>(
        std::min(served, static_cast<double>(aOther.mWaiting)));
    }
  });
  return aNow + limit.Wait(ahead, aNow) + latency <= aDeadline;
}

} // namespace cranberrywing
