// The lease of an owner or candidate. It only indicates liveness; fencing by
// the slot records, not the lease, prevents two owners from running a claim.
#include "cranberrywing/slots.h"

namespace cranberrywing {

namespace {

constexpr Milliseconds kLeaseRetryDelay{ 500 };
/// Keep-alives per lease time, so that two in a row may be lost.
constexpr int kKeepAlivesPerLease = 3;

} // namespace

void SlotTable::TickLease(TimePoint aNow, EffectList& aOut)
{
  if (!NeedsLease()) {
    RevokeLease(aNow, aOut);
    return;
  }
  if (aNow < mNextLeaseAttempt) {
    return;
  }
  switch (mLeaseState) {
    case LeaseState::None:
      GrantLease(aNow, aOut);
      return;
    case LeaseState::Granted:
      PutLiveKey(aNow, aOut);
      return;
    case LeaseState::Held:
      KeepLeaseAlive(aNow, aOut);
      return;
  }
}

void SlotTable::GrantLease(TimePoint aNow, EffectList& aOut)
{
  if (IsPending(Call::Grant)) {
    return;
  }
  mGrantSentAt = aNow;
  StoreCall request;
  request.mGrant = StoreLeaseGrant{ mOptions.mLeaseTime };
  Send(Call::Grant, std::move(request), aNow, aOut);
}

void SlotTable::OnGrantReply(const Result<StoreReply>& aReply,
                             TimePoint aNow,
                             EffectList& aOut)
{
  if (!aReply || !aReply->mSucceeded) {
    mNextLeaseAttempt = aNow + kLeaseRetryDelay;
    return;
  }
  mLease = aReply->mLease;
  mLeaseState = LeaseState::Granted;
  mLastKeepAlive = aNow;
  mLeaseConfirmedAt = mGrantSentAt;
  PutLiveKey(aNow, aOut);
}

void SlotTable::PutLiveKey(TimePoint aNow, EffectList& aOut)
{
  if (IsPending(Call::PutLive)) {
    return;
  }
  StoreTxn txn;
  txn.mPuts.push_back(
    { .mKey = LiveKey(mOptions.mSelf), .mValue = "", .mLease = mLease });
  // Read in the same transaction as the put: slots owned at this revision
  // cannot be taken over while the live key exists, even if an earlier lease
  // had expired.
  txn.mReads.push_back(FullRange());
  SendTxn(Call::PutLive, std::move(txn), aNow, aOut);
}

void SlotTable::OnPutLiveReply(const Result<StoreReply>& aReply,
                               TimePoint aNow,
                               EffectList& aOut)
{
  if (mLeaseState != LeaseState::Granted) {
    return;
  }
  if (aReply && aReply->mSucceeded) {
    mLeaseState = LeaseState::Held;
    mHeldSince = aNow;
    ApplyRange(*aReply, aNow, aOut);
    mLiveProcesses.insert(mOptions.mSelf);
    return;
  }
  // The lease may have expired while the put was in flight, which the store
  // reports as a failed call. Starts over with a new lease.
  mLeaseState = LeaseState::None;
  mNextLeaseAttempt = aNow + kLeaseRetryDelay;
}

void SlotTable::KeepLeaseAlive(TimePoint aNow, EffectList& aOut)
{
  const Duration interval = mOptions.mLeaseTime / kKeepAlivesPerLease;
  if (aNow - mLastKeepAlive < interval || IsPending(Call::KeepAlive)) {
    return;
  }
  mLastKeepAlive = aNow;
  StoreCall request;
  request.mKeepAlive = StoreLeaseKeepAlive{ mLease };
  Send(Call::KeepAlive, std::move(request), aNow, aOut);
}

void SlotTable::OnKeepAliveReply(const Result<StoreReply>& aReply)
{
  if (!aReply) {
    return;
  }
  if (aReply->mSucceeded) {
    mLeaseConfirmedAt = mLastKeepAlive;
    return;
  }
  mLeaseState = LeaseState::None;
  mLiveProcesses.erase(mOptions.mSelf);
}

bool SlotTable::IsConfirmedOwner(std::uint32_t aSlot, TimePoint aNow) const
{
  if (mLeaseState != LeaseState::Held || !IsOwner(aSlot)) {
    return false;
  }
  const Duration shortest =
    mOptions.mLeaseTime -
    (WithDriftMargin(mOptions.mLeaseTime) - mOptions.mLeaseTime);
  return aNow - mLeaseConfirmedAt < shortest;
}

void SlotTable::RevokeLease(TimePoint aNow, EffectList& aOut)
{
  if (mLeaseState == LeaseState::None) {
    return;
  }
  mLeaseState = LeaseState::None;
  mLiveProcesses.erase(mOptions.mSelf);
  StoreCall request;
  request.mRevoke = StoreLeaseRevoke{ mLease };
  Send(Call::Revoke, std::move(request), aNow, aOut);
  mLease = LeaseId::None;
}

} // namespace cranberrywing
