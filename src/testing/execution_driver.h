// Carries out the effects of nodes under test in simulated time, with faults
// of the store and of messages between peers.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "testing/execution_node.h"
#include "testing/execution_store.h"

namespace cranberrywing::execution_testing {

class FleetDriver
{
public:
  using Handler = std::function<void(Node&, EffectList&)>;

  FleetDriver() = default;
  virtual ~FleetDriver() = default;
  FleetDriver(const FleetDriver&) = delete;
  FleetDriver& operator=(const FleetDriver&) = delete;

  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      Step();
    }
  }

  TimePoint Now() const { return mNow; }

  MemoryStore mStore;
  std::map<VmId, Node> mNodes;
  /// Each way.
  Duration mStoreDelay = 2ms;
  /// Whether a message is lost.
  std::function<bool(const VmId&, const Message&)> mIsMessageLost;
  /// Number of deliveries and their delays, if not one after 1 ms.
  std::function<std::vector<Duration>()> mDeliveryDelays;

protected:
  virtual void Decide(Node& aNode, const ExecutionDecision& aDecision) = 0;

  void Handle(Node& aNode, const Handler& aHandler)
  {
    if (!aNode.mIsUp) {
      return;
    }
    if (aNode.mIsPaused) {
      aNode.mBacklog.push_back(aHandler);
      return;
    }
    EffectList out;
    aHandler(aNode, out);
    for (const Effect& effect : out) {
      CarryOut(aNode, effect);
    }
    for (const auto& decision : aNode.mExecutions->TakeDecisions()) {
      Decide(aNode, decision);
    }
  }

  /// Delivers an event to the process, unless it has ended by then.
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
  void Step()
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
        FireWatch(node);
        Handle(node, [this](Node& aNode, EffectList& aOut) {
          aNode.mSlots->Tick(mNow, aOut);
          aNode.mExecutions->Tick(mNow, aOut);
        });
      }
    }
  }

  void FireWatch(Node& aNode)
  {
    if (!aNode.mIsWatching || aNode.mFault != StoreFault::None) {
      return;
    }
    event::StoreWatchFired fired;
    fired.mWatch = { Component::SlotTable, 0 };
    const auto& changes = mStore.Changes();
    for (; aNode.mWatchPosition < changes.size(); ++aNode.mWatchPosition) {
      const MemoryStore::Change& change = changes[aNode.mWatchPosition];
      if (change.mRevision >= aNode.mWatchFrom &&
          change.mEntry.mKey.starts_with("/cw/slots/")) {
        fired.mEntries.push_back(change.mEntry);
      }
    }
    fired.mStoreRevision = mStore.StoreRevision();
    if (fired.mEntries.empty() && mNow - aNode.mLastProgress < 1s) {
      return;
    }
    aNode.mLastProgress = mNow;
    Handle(aNode, [=, this](Node& aAt, EffectList& aOut) {
      aAt.mSlots->OnWatch(fired, mNow, aOut);
    });
  }

  void CarryOut(Node& aNode, const Effect& aEffect)
  {
    if (const auto* call = std::get_if<effect::CallStore>(&aEffect)) {
      CallStore(aNode, *call);
    } else if (const auto* send = std::get_if<effect::SendMessage>(&aEffect)) {
      SendMessage(aNode, *send);
    } else if (const auto* watch = std::get_if<effect::WatchStore>(&aEffect)) {
      aNode.mIsWatching = true;
      aNode.mWatchPosition = 0;
      aNode.mWatchFrom = watch->mFromRevision;
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
      Schedule(aDelay, self, [=, this](Node& aAt, EffectList& aOut) {
        const event::StoreReplied reply{ call, aReply };
        if (call.mComponent == Component::SlotTable) {
          aAt.mSlots->OnStoreReply(reply, mNow, aOut);
        } else {
          aAt.mExecutions->OnStoreReply(reply, mNow, aOut);
        }
      });
    };
    const auto unknown = MakeError(ResultCode::OutcomeUnknown, "lost");
    switch (fault) {
      case StoreFault::None:
        mScheduled.emplace(mNow + mStoreDelay, [=, this] {
          answer(mStoreDelay, mStore.Apply(aCall.mRequest, mNow));
        });
        return;
      case StoreFault::Outage:
        answer(2ms, MakeError(ResultCode::StoreUnavailable, "down"));
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
      // Whichever process runs on the VM by then receives it.
      mScheduled.emplace(
        mNow + delay, [this, message, from = aNode.mSelf, &node = to->second] {
          Handle(node, [=, this](Node& aAt, EffectList& aOut) {
            Receive(aAt, from, message, aOut);
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
