#include "cranberrywing/fair_queue.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Minimum quantum; bounds the rounds that one Pop goes through.
constexpr double kMinQuantum = 0.01;

constexpr Duration kUtilizationInterval = std::chrono::milliseconds(200);

std::size_t CountConnections(const ServiceSettings& aService)
{
  std::size_t n = 0;
  for (const BackendSettings& backend : aService.mBackends) {
    n += backend.mDraining ? 0 : backend.mConnections;
  }
  return n;
}

} // namespace

FairQueue::FairQueue(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void FairQueue::Apply(const SettingsSnapshot& aSettings)
{
  double maxWeight = 0;
  for (const auto& [id, account] : aSettings.mAccounts) {
    maxWeight = std::max(maxWeight, account.mWeight);
  }
  maxWeight = maxWeight > 0 ? maxWeight : 1;
  mDefaultQuantum = std::clamp(1 / maxWeight, kMinQuantum, 1.0);
  mQuanta.clear();
  for (const auto& [id, account] : aSettings.mAccounts) {
    mQuanta[id] = std::clamp(account.mWeight / maxWeight, kMinQuantum, 1.0);
  }
  for (auto& [id, service] : mServices) {
    service.mLimit.SetCeiling(0);
    for (auto& [accountId, account] : service.mAccounts) {
      const auto it = mQuanta.find(accountId);
      const double quantum = it == mQuanta.end() ? mDefaultQuantum : it->second;
      const bool hasRequests = account.mWaiting + account.mRunning > 0;
      service.mActiveQuanta += hasRequests ? quantum - account.mQuantum : 0;
      account.mQuantum = quantum;
    }
    std::erase_if(service.mAccounts, [this](const auto& aEntry) {
      const auto& [accountId, account] = aEntry;
      return account.mWaiting + account.mRunning == 0 &&
             !mQuanta.contains(accountId);
    });
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
  const Slot slot = AllocateSlot();
  if (!mSlots.try_emplace(aRequest.mRequest, slot).second) {
    mFreeSlots.push_back(slot);
    return false;
  }
  mEntries[slot].mRequest = aRequest;
  Append(service, account, slot);
  UpdateAccount(service, account, aNow);
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
  if (service.mNextTurn == nullptr ||
      service.mLimit.Running() >= RunLimit(service)) {
    return std::nullopt;
  }
  AccountQueue& account = NextAccount(service);
  account.mDeficit = std::max(0.0, account.mDeficit - 1);
  // Quanta are at most one request, so each turn serves at most one.
  service.mNextTurn = account.mNext;
  service.mLimit.OnStart(aNow);
  ++account.mRunning;
  QueuedRequest next = Remove(account.mFirst);
  UpdateAccount(service, account, aNow);
  return next;
}

void FairQueue::Finish(const ServiceId& aService,
                       const AccountId& aAccount,
                       TimePoint aNow)
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return;
  }
  ServiceQueue& service = it->second;
  AccountQueue& account = FindAccount(service, aAccount);
  if (account.mRunning == 0) {
    return;
  }
  service.mLimit.OnFinish(aNow);
  --account.mRunning;
  if (account.mRunning + account.mWaiting == 0) {
    service.mActiveQuanta -= account.mQuantum;
  }
  if (service.mLevel != service.mLimit.Level()) {
    UpdateAllAccounts(service, aNow);
  } else {
    UpdateAccount(service, account, aNow);
  }
}

bool FairQueue::Cancel(RequestId aRequest)
{
  const auto it = mSlots.find(aRequest);
  if (it == mSlots.end()) {
    return false;
  }
  Drop(it->second);
  return true;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint aNow)
{
  UpdateUtilization(aNow);
  std::vector<QueuedRequest> expired;
  if (mSlots.empty()) {
    mEarliestDeadline = TimePoint::max();
    return expired;
  }
  Duration maxLatency{};
  for (const auto& [id, service] : mServices) {
    if (service.mWaiting > 0) {
      maxLatency = std::max(maxLatency, service.mLimit.Latency(aNow));
    }
  }
  if (mEarliestDeadline > aNow + maxLatency) {
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
      expired.push_back(Drop(slot));
    } else {
      mEarliestDeadline = std::min(mEarliestDeadline, deadline);
    }
  }
  return expired;
}

void FairQueue::UpdateUtilization(TimePoint aNow)
{
  if (!mOptions.mUtilization || aNow < mNextUtilizationUpdate) {
    return;
  }
  mNextUtilizationUpdate = aNow + kUtilizationInterval;
  for (auto& [id, service] : mServices) {
    service.mLimit.OnUtilization(mOptions.mUtilization(id, aNow), aNow);
    if (service.mLevel != service.mLimit.Level()) {
      UpdateAllAccounts(service, aNow);
    }
  }
}

std::size_t FairQueue::Waiting(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mWaiting;
}

std::size_t FairQueue::AccountCount(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mAccounts.size();
}

std::size_t FairQueue::Running(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mLimit.Running();
}

double FairQueue::Level(const ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mLimit.Level();
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

} // namespace cranberrywing
