// Queue operations and deficit round robin scheduling of FairQueue.
#include <algorithm>
#include <cmath>

#include "cranberrywing/fair_queue.h"

namespace cranberrywing {

namespace {

/// Cost of one request, reduced to absorb rounding errors of fractional quanta.
constexpr double kRequestCost = 1.0 - 1e-9;

} // namespace

FairQueue::Slot FairQueue::AllocateSlot()
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
  if (aAccount.mWaiting + aAccount.mRunning == 0) {
    aService.mActiveQuanta += aAccount.mQuantum;
  }
  if (aAccount.mLast == kNoSlot) {
    aAccount.mFirst = aSlot;
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
  entry.mService = nullptr;
  entry.mAccount = nullptr;
  mSlots.erase(entry.mRequest.mRequest);
  mFreeSlots.push_back(aSlot);
  return std::move(entry.mRequest);
}

QueuedRequest FairQueue::Drop(Slot aSlot)
{
  ServiceQueue& service = *mEntries[aSlot].mService;
  AccountQueue& account = *mEntries[aSlot].mAccount;
  QueuedRequest request = Remove(aSlot);
  if (account.mWaiting + account.mRunning == 0) {
    service.mActiveQuanta -= account.mQuantum;
  }
  UpdateRing(service, account);
  return request;
}

std::size_t FairQueue::RunLimit(const ServiceQueue& aService,
                                const AccountQueue& aAccount)
{
  const double part = aService.mLimit.Level() * aAccount.mQuantum;
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(part)));
}

std::size_t FairQueue::RunLimit(const ServiceQueue& aService)
{
  // If the level allows less than one request per account, accounts take turns.
  const double all = aService.mLimit.Level() * aService.mActiveQuanta;
  const auto most = static_cast<std::size_t>(std::ceil(all));
  return std::clamp<std::size_t>(most, 1, aService.mLimit.Ceiling());
}

void FairQueue::UpdateRing(ServiceQueue& aService, AccountQueue& aAccount)
{
  const bool isFull = aAccount.mRunning >= RunLimit(aService, aAccount);
  const bool isLimited = aAccount.mWaiting > 0 && isFull;
  if (isLimited != aAccount.mIsLimited) {
    aService.mLimitedAccounts += isLimited ? 1 : -1;
    aAccount.mIsLimited = isLimited;
  }
  const bool wasActive = aAccount.mNext != nullptr;
  const bool isActive = aAccount.mWaiting > 0 && !isFull;
  if (isActive && !wasActive) {
    Activate(aService, aAccount);
  } else if (!isActive && wasActive) {
    Deactivate(aService, aAccount);
  }
}

void FairQueue::UpdateAccount(ServiceQueue& aService,
                              AccountQueue& aAccount,
                              TimePoint aNow)
{
  UpdateRing(aService, aAccount);
  const bool isFull = aService.mLimit.Running() >= RunLimit(aService);
  aService.mLimit.SetLimiting(
    aService.mLimitedAccounts > 0 || (isFull && aService.mWaiting > 0), aNow);
}

void FairQueue::UpdateAllAccounts(ServiceQueue& aService, TimePoint aNow)
{
  aService.mLevel = aService.mLimit.Level();
  for (auto& [id, account] : aService.mAccounts) {
    UpdateAccount(aService, account, aNow);
  }
}

void FairQueue::Activate(ServiceQueue& aService, AccountQueue& aAccount)
{
  aAccount.mDeficit = 0;
  if (aService.mNextTurn == nullptr) {
    aAccount.mPrevious = &aAccount;
    aAccount.mNext = &aAccount;
    aService.mNextTurn = &aAccount;
    return;
  }
  AccountQueue& after = *aService.mNextTurn;
  aAccount.mNext = &after;
  aAccount.mPrevious = after.mPrevious;
  after.mPrevious->mNext = &aAccount;
  after.mPrevious = &aAccount;
}

void FairQueue::Deactivate(ServiceQueue& aService, AccountQueue& aAccount)
{
  if (aService.mNextTurn == &aAccount) {
    aService.mNextTurn = aAccount.mNext == &aAccount ? nullptr : aAccount.mNext;
  }
  aAccount.mPrevious->mNext = aAccount.mNext;
  aAccount.mNext->mPrevious = aAccount.mPrevious;
  aAccount.mPrevious = nullptr;
  aAccount.mNext = nullptr;
}

FairQueue::AccountQueue& FairQueue::NextAccount(ServiceQueue& aService)
{
  while (true) {
    AccountQueue& account = *aService.mNextTurn;
    if (account.mNext == &account || account.mDeficit >= kRequestCost) {
      return account;
    }
    account.mDeficit += account.mQuantum;
    if (account.mDeficit >= kRequestCost) {
      return account;
    }
    aService.mNextTurn = account.mNext;
  }
}

bool FairQueue::CanFinish(const ServiceQueue& aService,
                          const AccountQueue& aAccount,
                          TimePoint aDeadline,
                          TimePoint aNow)
{
  const std::size_t running = aService.mLimit.Running();
  const std::size_t serviceLimit = RunLimit(aService);
  const std::size_t accountLimit = RunLimit(aService, aAccount);
  const bool mayStart =
    aAccount.mRunning < accountLimit && running < serviceLimit;
  if (mayStart && aAccount.mWaiting == 0) {
    return aNow < aDeadline;
  }
  // Each full batch of requests that runs before this one takes one latency.
  const auto position = static_cast<double>(aAccount.mWaiting + 1);
  const double accountBatches = position / static_cast<double>(accountLimit);
  const double serviceBatches =
    static_cast<double>(CountScheduledThrough(aService, aAccount)) /
    static_cast<double>(serviceLimit);
  const Duration latency = aService.mLimit.Latency(aNow);
  const double wait = std::max(accountBatches, serviceBatches) *
                      static_cast<double>(latency.count());
  return aNow + latency + Duration(static_cast<Duration::rep>(wait)) <=
         aDeadline;
}

std::size_t FairQueue::CountScheduledThrough(const ServiceQueue& aService,
                                             const AccountQueue& aAccount)
{
  const double rounds =
    std::ceil(static_cast<double>(aAccount.mWaiting + 1) / aAccount.mQuantum);
  std::size_t count = aAccount.mWaiting + 1;
  const AccountQueue* other = aService.mNextTurn;
  if (other == nullptr) {
    return count;
  }
  do {
    if (other != &aAccount) {
      const double served = rounds * other->mQuantum;
      count += static_cast<std::size_t>(
        std::min(served, static_cast<double>(other->mWaiting)));
    }
    other = other->mNext;
  } while (other != aService.mNextTurn);
  return count;
}

} // namespace cranberrywing
