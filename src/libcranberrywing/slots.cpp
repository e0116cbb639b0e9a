#include "cranberrywing/slots.h"

#include <algorithm>

namespace cranberrywing {

namespace {

/// Interval at which owners are evaluated; longer than that of Tick (10 ms).
constexpr Milliseconds kEvaluationInterval{ 500 };

} // namespace

SlotTable::SlotTable(Options aOptions, SlotTableHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mReadBackoff(mOptions.mRefreshBackoff)
{
}

void SlotTable::Apply(const SettingsSnapshot& aSettings)
{
  const FleetSettings& fleet = aSettings.mFleet;
  mOwnerCount = std::max(1u, fleet.mSlotOwners);
  mTakeoverDelay = fleet.mTakeoverDelay;
  mConfiguredCount = std::max(1u, fleet.mSlotCount);
  if (mRecordedCount == 0) {
    mSlots.resize(mConfiguredCount);
  }
}

std::uint32_t SlotTable::SlotCount() const
{
  return static_cast<std::uint32_t>(mSlots.size());
}

std::optional<SlotOwner> SlotTable::Owner(std::uint32_t aSlot) const
{
  if (aSlot >= mSlots.size() || !mSlots[aSlot].mRecord) {
    return std::nullopt;
  }
  return mSlots[aSlot].mRecord->mOwner;
}

bool SlotTable::IsOwner(std::uint32_t aSlot) const
{
  return aSlot < mSlots.size() && mSlots[aSlot].mIsOwned;
}

std::vector<std::uint32_t> SlotTable::OwnedSlots() const
{
  std::vector<std::uint32_t> owned;
  for (std::uint32_t n = 0; n < mSlots.size(); ++n) {
    if (mSlots[n].mIsOwned) {
      owned.push_back(n);
    }
  }
  return owned;
}

bool SlotTable::IsHandedOver(std::uint32_t aSlot) const
{
  return aSlot < mSlots.size() && mSlots[aSlot].mRecord &&
         mSlots[aSlot].mRecord->mIsHandedOver;
}

StoreCompare SlotTable::Fence(std::uint32_t aSlot) const
{
  const std::int64_t revision =
    aSlot < mSlots.size() ? mSlots[aSlot].mModRevision : 0;
  return { .mKey = SlotKey(aSlot), .mModRevision = revision };
}

void SlotTable::OnFenceFailed(std::uint32_t, TimePoint aNow, EffectList& aOut)
{
  Read(aNow, aOut);
}

void SlotTable::Refresh()
{
  mIsReadRequested = true;
}

void SlotTable::Tick(TimePoint aNow, EffectList& aOut)
{
  mNow = aNow;
  if (mSlots.empty()) {
    return;
  }
  ExpireCalls(aNow, aOut);
  if (aNow >= mNextEvaluation) {
    mNextEvaluation = aNow + kEvaluationInterval;
    EvaluateOwnership(aNow, aOut);
  }
  TickView(aNow, aOut);
  TickLease(aNow, aOut);
  WriteHandovers(aNow, aOut);
}

void SlotTable::OnStoreReply(const event::StoreReplied& aReply,
                             TimePoint aNow,
                             EffectList& aOut)
{
  mNow = aNow;
  const auto it = mCalls.find(aReply.mCall.mNumber);
  if (it == mCalls.end()) {
    return;
  }
  const Call call = it->second.mCall;
  mCalls.erase(it);
  OnReply(call, aReply.mReply, aNow, aOut);
}

void SlotTable::OnDeath(const VmIncarnation& aProcess,
                        TimePoint aNow,
                        EffectList& aOut)
{
  mNow = aNow;
  const bool ownsAny =
    std::any_of(mSlots.begin(), mSlots.end(), [&](const Slot& aSlot) {
      return aSlot.mRecord && aSlot.mRecord->mOwner.mProcess == aProcess;
    });
  if (ownsAny) {
    EvaluateOwnership(aNow, aOut);
  }
}

void SlotTable::Send(Call aCall,
                     StoreCall aRequest,
                     TimePoint aNow,
                     EffectList& aOut)
{
  const std::uint64_t number = mNextCall++;
  mCalls[number] = { .mCall = aCall, .mSentAt = aNow };
  aOut.push_back(effect::CallStore{ .mCall = { Component::SlotTable, number },
                                    .mRequest = std::move(aRequest) });
}

void SlotTable::SendTxn(Call aCall,
                        StoreTxn aTxn,
                        TimePoint aNow,
                        EffectList& aOut)
{
  StoreCall request;
  request.mTxn = std::move(aTxn);
  Send(aCall, std::move(request), aNow, aOut);
}

bool SlotTable::IsPending(Call aCall) const
{
  return std::any_of(mCalls.begin(), mCalls.end(), [aCall](const auto& aEntry) {
    return aEntry.second.mCall == aCall;
  });
}

void SlotTable::ExpireCalls(TimePoint aNow, EffectList& aOut)
{
  std::vector<Call> expired;
  std::erase_if(mCalls, [&](const auto& aEntry) {
    if (aNow - aEntry.second.mSentAt < mOptions.mCallTimeout) {
      return false;
    }
    expired.push_back(aEntry.second.mCall);
    return true;
  });
  for (const Call call : expired) {
    OnReply(
      call,
      MakeError(ResultCode::OutcomeUnknown, "the store did not reply in time"),
      aNow,
      aOut);
  }
}

void SlotTable::OnReply(Call aCall,
                        const Result<StoreReply>& aReply,
                        TimePoint aNow,
                        EffectList& aOut)
{
  switch (aCall) {
    case Call::Grant:
      OnGrantReply(aReply, aNow, aOut);
      return;
    case Call::PutLive:
      OnPutLiveReply(aReply, aNow, aOut);
      return;
    case Call::KeepAlive:
      OnKeepAliveReply(aReply);
      return;
    case Call::Revoke:
      return;
    case Call::HandOver:
      OnHandOverReply(aReply, aNow, aOut);
      return;
    case Call::Read:
    case Call::TakeOver:
      break;
  }
  if (!aReply) {
    // The slot records show whether a transaction without a reply took effect.
    mIsReadRequested = true;
    return;
  }
  ApplyRange(*aReply, aNow, aOut);
  if (aCall == Call::Read && NeedsLease() && !mIsWatching) {
    StartWatch(aNow, aOut);
  }
}

bool SlotTable::OwnsAnySlot() const
{
  return mOwnedCount > 0;
}

bool SlotTable::NeedsLease() const
{
  return OwnsAnySlot() || (mIsCandidate && !mIsReleasing);
}

std::string SlotTable::SlotKey(std::uint32_t aSlot) const
{
  return mOptions.mStorePrefix + std::to_string(aSlot);
}

std::string SlotTable::LiveKey(const VmIncarnation& aProcess) const
{
  return mOptions.mStorePrefix + "live/" + aProcess.mVm.mName + "/" +
         std::to_string(aProcess.mIncarnation.mNumber);
}

} // namespace cranberrywing
