/// \file
/// Execution component of one VM that owns all slots, for benchmarks in
/// simulated time.
#pragma once

#include <queue>

#include "cranberrywing/executions.h"
#include "testing/execution_store.h"

namespace cranberrywing::execution_bench {

using namespace std::chrono_literals;

inline constexpr std::uint64_t kSeed = 1;
inline constexpr std::int64_t kWallSeconds = 1'700'000'000;

/// Owner of all slots with an in-memory store that accepts claims without
/// storing them. Not thread-safe.
class Owner
{
public:
  explicit Owner(std::size_t aClaimsPerCommit = kMaxBatchClaims)
    : mSlots({ .mSelf = mSelf }, SlotHooks())
    , mExecutions(ExecutionOptions(aClaimsPerCommit), ExecutionHooks(), mSlots)
  {
    SettingsSnapshot settings;
    settings.mFleet.mTicketSecret = "bench";
    mSlots.Apply(settings);
    mExecutions.Apply(settings);
    while (mSlots.OwnedSlots().size() < settings.mFleet.mSlotCount) {
      Step(10ms);
    }
  }

  /// Advances the simulated time, runs the tick and answers due store calls.
  void Step(Duration aTime)
  {
    mNow += aTime;
    AnswerDueCalls();
    EffectList out;
    mSlots.Tick(mNow, out);
    mExecutions.Tick(mNow, out);
    Collect(out);
    AnswerDueCalls();
  }

  void Begin(const ExecutionRequest& aRequest)
  {
    EffectList out;
    mExecutions.Begin(aRequest, mNow, out);
    Collect(out);
  }

  void Answer(RequestId aRequest, const AnswerContentPtr& aAnswer)
  {
    EffectList out;
    mExecutions.OnAnswered(aRequest, aAnswer, mNow, out);
    Collect(out);
  }

  /// Answers the store calls whose latency has passed.
  void AnswerDueCalls()
  {
    while (!mCalls.empty() && mCalls.front().mDue <= mNow) {
      const effect::CallStore call = std::move(mCalls.front().mCall);
      mCalls.pop();
      const bool isClaim = call.mCall.mComponent == Component::Executions &&
                           !call.mRequest.mTxn->mPuts.empty();
      StoreReply reply;
      reply.mSucceeded = true;
      if (!isClaim) {
        reply = mStore.Apply(call.mRequest, mNow);
      }
      EffectList out;
      const event::StoreReplied event{ call.mCall, reply };
      if (call.mCall.mComponent == Component::SlotTable) {
        mSlots.OnStoreReply(event, mNow, out);
      } else {
        mExecutions.OnStoreReply(event, mNow, out);
      }
      Collect(out);
    }
  }

  VmIncarnation mSelf{ VmId("vm-1"), Incarnation{ 1 } };
  TimePoint mNow{ 1s };
  /// Latency of the store's replies.
  Duration mStoreLatency{};
  execution_testing::MemoryStore mStore;
  SlotTable mSlots;
  Executions mExecutions;

private:
  /// A store call and when it is answered.
  struct PendingCall
  {
    TimePoint mDue{};
    effect::CallStore mCall;
  };

  SlotTableHooks SlotHooks() const
  {
    SlotTableHooks hooks;
    hooks.mIsDead = [](const VmIncarnation&) { return false; };
    hooks.mIsUsable = [](const VmId&) { return true; };
    hooks.mCandidates = [this] {
      return std::vector<std::pair<VmId, FailureDomainId>>{
        { mSelf.mVm, FailureDomainId("a") }
      };
    };
    // Safe despite the const method: the hooks run only after construction, on
    // an owner that is not const.
    auto* self = const_cast<Owner*>(this);
    hooks.mOnAcquired = [self](std::uint32_t aSlot,
                               std::uint64_t aEpoch,
                               TimePoint aNow,
                               EffectList& aOut) {
      self->mExecutions.OnSlotAcquired(aSlot, aEpoch, aNow, aOut);
    };
    hooks.mOnLost =
      [self](std::uint32_t aSlot, TimePoint aNow, EffectList& aOut) {
        self->mExecutions.OnSlotLost(aSlot, aNow, aOut);
      };
    return hooks;
  }

  ExecutionsHooks ExecutionHooks() const
  {
    ExecutionsHooks hooks;
    hooks.mPeers = [] { return std::vector<VmId>(); };
    hooks.mCopyHolder = [](std::uint32_t) { return std::nullopt; };
    hooks.mWallSeconds = [] { return kWallSeconds; };
    return hooks;
  }

  Executions::Options ExecutionOptions(std::size_t aClaimsPerCommit) const
  {
    Executions::Options options;
    options.mSelf = mSelf;
    options.mSeed = kSeed;
    options.mAnswerStoreBytes = 1u << 30;
    options.mClaimsPerCommit = aClaimsPerCommit;
    return options;
  }

  void Collect(const EffectList& aEffects)
  {
    for (const Effect& effect : aEffects) {
      if (const auto* call = std::get_if<effect::CallStore>(&effect)) {
        mCalls.push({ mNow + mStoreLatency, *call });
      }
    }
  }

  std::queue<PendingCall> mCalls;
};

} // namespace cranberrywing::execution_bench
