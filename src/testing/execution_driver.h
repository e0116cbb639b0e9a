/// \file
/// Executes the effects of the nodes under test in virtual time and injects
/// store faults, message loss, delays and duplicates.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "testing/execution_node.h"
#include "testing/execution_store.h"

namespace cranberrywing::execution_testing {

/// Base of the test fleet: virtual time, the store and message delivery. Not
/// thread-safe.
class FleetDriver
{
public:
  using Handler = std::function<void(Node&, EffectList&)>;

  FleetDriver() = default;
  virtual ~FleetDriver() = default;
  FleetDriver(const FleetDriver&) = delete;
  FleetDriver& operator=(const FleetDriver&) = delete;

  /// Advances virtual time in steps of 10 ms.
  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      AdvanceTime();
    }
  }

  TimePoint Now() const { return mNow; }

  MemoryStore mStore;
  std::map<VmId, Node> mNodes;
  /// One-way delay between a node and the store.
  Duration mStoreDelay = 2ms;
  /// Returns whether a message to the VM is lost. Null: no loss.
  std::function<bool(const VmId&, const Message&)> mIsMessageLost;
  /// Returns the delay of each delivery of a message; several delays mean
  /// duplicates. Null: one delivery after 1 ms.
  std::function<std::vector<Duration>()> mDeliveryDelays;

protected:
  /// Called for each decision that a node makes.
  virtual void HandleDecision(Node& aNode,
                              const ExecutionDecision& aDecision) = 0;

  /// Calls the handler on the node, then executes the resulting effects and
  /// decisions. A paused node handles it on resumption; a stopped node never.
  void Handle(Node& aNode, const Handler& aHandler)
  {
    if (!aNode.mIsUp) {
      return;
    }
    if (aNode.mIsPaused) {
      aNode.mDeferredHandlers.push_back(aHandler);
      return;
    }
    EffectList out;
    aHandler(aNode, out);
    for (const Effect& effect : out) {
      ExecuteEffect(aNode, effect);
    }
    for (const auto& decision : aNode.mExecutions->TakeDecisions()) {
      HandleDecision(aNode, decision);
    }
  }

  /// Calls the handler after the delay, unless the process has ended by then.
  void Schedule(Duration aDelay, const VmIncarnation& aTo, Handler aHandler)
  {
    mScheduled.emplace(mNow + aDelay, [this, aTo, aHandler] {
      Node& node = mNodes.at(aTo.mVm);
      if (node.mIsUp && node.mSelf == aTo) {
        Handle(node, aHandler);
      }
    });
  }

  TimePoint mNow{ 1s };

private:
  void AdvanceTime()
  {
    mNow += 10ms;
    mStore.ExpireLeases(mNow);
    while (!mScheduled.empty() && mScheduled.begin()->first <= mNow) {
      const auto action = std::move(mScheduled.begin()->second);
      mScheduled.erase(mScheduled.begin());
      action();
    }
    for (auto& [vm, node] : mNodes) {
      if (node.mIsUp && !node.mIsPaused) {
        DeliverWatchChanges(node);
        Handle(node, [this](Node& aNode, EffectList& aOut) {
          aNode.mSlots->Tick(mNow, aOut);
          aNode.mExecutions->Tick(mNow, aOut);
        });
      }
    }
  }

  /// Reports the store changes since the last report or, at most once a second,
  /// that there were none.
  void DeliverWatchChanges(Node& aNode)
  {
    if (!aNode.mIsWatching || aNode.mFault != StoreFault::None) {
      return;
    }
    event::StoreWatchFired fired;
    fired.mWatch = { Component::SlotTable, 0 };
    const auto& changes = mStore.Changes();
    for (; aNode.mWatchPosition < changes.size(); ++aNode.mWatchPosition) {
      const MemoryStore::Change& change = changes[aNode.mWatchPosition];
      if (change.mRevision >= aNode.mWatchFromRevision &&
          change.mEntry.mKey.starts_with("/cw/slots/")) {
        fired.mEntries.push_back(change.mEntry);
      }
    }
    fired.mStoreRevision = mStore.StoreRevision();
    if (fired.mEntries.empty() && mNow - aNode.mLastWatchProgress < 1s) {
      return;
    }
    aNode.mLastWatchProgress = mNow;
    Handle(aNode, [=, this](Node& aReceiver, EffectList& aOut) {
      aReceiver.mSlots->OnWatch(fired, mNow, aOut);
    });
  }

  void ExecuteEffect(Node& aNode, const Effect& aEffect)
  {
    if (const auto* call = std::get_if<effect::CallStore>(&aEffect)) {
      CallStore(aNode, *call);
    } else if (const auto* send = std::get_if<effect::SendMessage>(&aEffect)) {
      SendMessage(aNode, *send);
    } else if (const auto* watch = std::get_if<effect::WatchStore>(&aEffect)) {
      aNode.mIsWatching = true;
      aNode.mWatchPosition = 0;
      aNode.mWatchFromRevision = watch->mFromRevision;
    } else if (std::holds_alternative<effect::CancelWatch>(aEffect)) {
      aNode.mIsWatching = false;
    }
  }

  void CallStore(Node& aNode, const effect::CallStore& aCall)
  {
    ++aNode.mStoreCalls;
    const StoreFault fault = aNode.mFault;
    const VmIncarnation self = aNode.mSelf;
    const auto answer = [this, self, call = aCall.mCall](
                          Duration aDelay, Result<StoreReply> aReply) {
      Schedule(aDelay, self, [=, this](Node& aReceiver, EffectList& aOut) {
        const event::StoreReplied reply{ call, aReply };
        if (call.mComponent == Component::SlotTable) {
          aReceiver.mSlots->OnStoreReply(reply, mNow, aOut);
        } else {
          aReceiver.mExecutions->OnStoreReply(reply, mNow, aOut);
        }
      });
    };
    const auto unknown = MakeError(ResultCode::OutcomeUnknown,
                                   "simulated loss of the call or its reply");
    switch (fault) {
      case StoreFault::None:
        mScheduled.emplace(mNow + mStoreDelay, [=, this] {
          answer(mStoreDelay, mStore.Apply(aCall.mRequest, mNow));
        });
        return;
      case StoreFault::Outage:
        answer(
          2ms,
          MakeError(ResultCode::StoreUnavailable, "simulated store outage"));
        return;
      case StoreFault::LostAnswer:
        mStore.Apply(aCall.mRequest, mNow);
        answer(20ms, unknown);
        return;
      case StoreFault::LateEffect:
        mScheduled.emplace(mNow + 2s,
                           [=, this] { mStore.Apply(aCall.mRequest, mNow); });
        answer(20ms, unknown);
        return;
      case StoreFault::LostCall:
        answer(20ms, unknown);
        return;
    }
  }

  void SendMessage(const Node& aNode, const effect::SendMessage& aSend)
  {
    const Message& message = aSend.mMessage;
    const auto to = mNodes.find(aSend.mTo);
    if (to == mNodes.end() ||
        (mIsMessageLost && mIsMessageLost(aSend.mTo, message))) {
      return;
    }
    const auto delays =
      mDeliveryDelays ? mDeliveryDelays() : std::vector<Duration>{ 1ms };
    for (const Duration delay : delays) {
      // Delivered to the process that runs on the VM at that time, which may
      // differ from the one that was addressed.
      mScheduled.emplace(
        mNow + delay, [this, message, from = aNode.mSelf, &node = to->second] {
          Handle(node, [=, this](Node& aReceiver, EffectList& aOut) {
            Receive(aReceiver, from, message, aOut);
          });
        });
    }
  }

  void Receive(Node& aNode,
               const VmIncarnation& aFrom,
               const Message& aMessage,
               EffectList& aOut)
  {
    std::visit(
      [&](const auto& aContent) {
        if constexpr (requires {
                        aNode.mExecutions->OnMessage(
                          aFrom, aContent, mNow, aOut);
                      }) {
          aNode.mExecutions->OnMessage(aFrom, aContent, mNow, aOut);
        }
      },
      aMessage);
  }

  std::multimap<TimePoint, std::function<void()>> mScheduled;
};

} // namespace cranberrywing::execution_testing
