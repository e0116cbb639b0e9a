#include "cranberrywing/fair_queue.h"

#include <algorithm>

namespace cranberrywing {

namespace {

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
      const double quantum = it == mQuanta.end() ? mDefaultQuantum : it->second;
      const bool isBusy = account.mWaiting + account.mRunning > 0;
      service.mBusyQuanta += isBusy ? quantum - account.mQuantum : 0;
      account.mQuantum = quantum;
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
  Review(service, account, aNow);
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
  if (service.mTurn == nullptr || service.mLimit.Running() >= MayRun(service)) {
    return std::nullopt;
  }
  AccountQueue& account = NextAccount(service);
  account.mDeficit = std::max(0.0, account.mDeficit - 1);
  // Quanta are at most one request, so each turn serves at most one.
  service.mTurn = account.mNext;
  service.mLimit.OnStart(aNow);
  ++account.mRunning;
  QueuedRequest next = Remove(account.mFirst);
  Review(service, account, aNow);
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
    service.mBusyQuanta -= account.mQuantum;
  }
  if (service.mLevel != service.mLimit.Level()) {
    ReviewAll(service, aNow);
  } else {
    Review(service, account, aNow);
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
      expired.push_back(Drop(slot));
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
    service.mLimit.OnUtilization(mOptions.mUtilization(id, aNow), aNow);
    if (service.mLevel != service.mLimit.Level()) {
      ReviewAll(service, aNow);
    }
  }
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
