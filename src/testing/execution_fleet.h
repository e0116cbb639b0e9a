// A few SlotTable and Executions pairs over one fake store, with faults of
// processes, of the store and of messages between peers. Submit does what the
// request pipeline does around Executions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cranberrywing/executions.h"
#include "testing/execution_node.h"
#include "testing/execution_store.h"

namespace cranberrywing::execution_testing {

class Fleet
{
public:
  using Handler = std::function<void(Node&, EffectList&)>;

  explicit Fleet(std::size_t aNodes, FleetSettings aFleet = {})
  {
    aFleet.mTicketSecret = "test-secret";
    mSettings.mFleet = aFleet;
    for (std::size_t n = 0; n < aNodes; ++n) {
      const VmId vm("vm-" + std::to_string(n));
      mNodes[vm].mSelf.mVm = vm;
      Start(mNodes[vm]);
    }
  }

  /// A new process on the node's VM.
  void Start(Node& aNode)
  {
    const VmId vm = aNode.mSelf.mVm;
    aNode = Node{};
    aNode.mSelf = { vm, Incarnation{ ++mProcesses } };
    aNode.mIsUp = true;
    aNode.mSlots = std::make_unique<SlotTable>(
      SlotTable::Options{ .mSelf = aNode.mSelf }, SlotHooks(vm));
    Executions::Options options;
    options.mSelf = aNode.mSelf;
    options.mKeptBytes = mKeptBytes;
    aNode.mExecutions =
      std::make_unique<Executions>(options, ExecutionHooks(vm), *aNode.mSlots);
    aNode.mSlots->Apply(mSettings);
    aNode.mExecutions->Apply(mSettings);
  }

  void Kill(Node& aNode)
  {
    aNode.mIsUp = false;
    aNode.mIsWatching = false;
    aNode.mBacklog.clear();
  }

  void Resume(Node& aNode)
  {
    aNode.mIsPaused = false;
    for (const Handler& handler : std::exchange(aNode.mBacklog, {})) {
      Handle(aNode, handler);
    }
  }

  Node& At(std::size_t aIndex)
  {
    return mNodes.at(VmId("vm-" + std::to_string(aIndex)));
  }

  /// The running node that believes to own the request's slot.
  Node& OwnerOf(const TestRequest& aRequest)
  {
    return *OwnerOf(SlotOf(aRequest));
  }

  /// The running node that believes to own the slot, or null.
  Node* OwnerOf(std::uint32_t aSlot)
  {
    for (auto& [vm, node] : mNodes) {
      if (node.mIsUp && !node.mIsPaused && node.mSlots->IsOwner(aSlot)) {
        return &node;
      }
    }
    return nullptr;
  }

  std::uint32_t SlotOf(const TestRequest& aRequest)
  {
    return At(0).mExecutions->Locate(Make(RequestId{ 0 }, aRequest))->mSlot;
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      Step();
    }
  }

  /// Begins the request at a node; the owner is not looked for.
  RequestId BeginAt(Node& aNode, const TestRequest& aRequest)
  {
    const RequestId id{ ++mLastRequest };
    mIdentities[id] = aRequest.mKey + aRequest.mTicket;
    const ExecutionRequest request = Make(id, aRequest);
    Handle(aNode, [=, this](Node& aAt, EffectList& aOut) {
      aAt.mExecutions->Begin(request, mNow, aOut);
    });
    return id;
  }

  RequestId Submit(const TestRequest& aRequest)
  {
    Node* owner = OwnerOf(SlotOf(aRequest));
    return BeginAt(owner != nullptr ? *owner : At(0), aRequest);
  }

  /// A planned stop of the node's slots; it stays up.
  void Release(Node& aNode)
  {
    aNode.mIsLeaving = true;
    Handle(aNode, [this](Node& aAt, EffectList& aOut) {
      aAt.mSlots->ReleaseAll(mNow, aOut);
    });
  }

  std::string Ticket(Node& aNode)
  {
    return aNode.mExecutions
      ->IssueTicket(AccountId("shops"), RouteId("restock"), mNow)
      .value();
  }

  const Outcome* Find(RequestId aRequest) const
  {
    const auto it = mOutcomes.find(aRequest);
    return it == mOutcomes.end() ? nullptr : &it->second;
  }
  Outcome Get(RequestId aRequest) const { return mOutcomes.at(aRequest); }
  /// Requests that reached a backend server under the identity.
  int Runs(const std::string& aIdentity) { return mRuns[aIdentity]; }
  TimePoint Now() const { return mNow; }

  MemoryStore mStore;
  std::map<VmId, Node> mNodes;
  std::set<VmIncarnation> mDead;
  BackendAct mAct = BackendAct::Answer;
  Duration mBackendTime = 20ms;
  /// Each way.
  Duration mStoreDelay = 2ms;
  std::size_t mBodyBytes = 0;
  /// Whether a message is lost.
  std::function<bool(const VmId&, const Message&)> mLoses;
  /// Number of deliveries and their delays, if not one after 1 ms.
  std::function<std::vector<Duration>()> mDelays;
  std::size_t mKeptBytes = 1u << 20;
  std::int64_t mWallOffset = 1'700'000'000;
  std::map<std::string, int> mRuns;
  std::map<RequestId, std::string> mIdentities;
  std::map<RequestId, Outcome> mOutcomes;
  std::set<RequestId> mDispatched;
  /// Answers of "not run" although the same request reached a server.
  int mFalseNotRun = 0;
  SettingsSnapshot mSettings;

private:
  SlotTableHooks SlotHooks(const VmId& aVm)
  {
    SlotTableHooks hooks;
    hooks.mIsDead = [this](const VmIncarnation& aProcess) {
      return mDead.contains(aProcess);
    };
    hooks.mIsUsable = [this](const VmId& aOther) {
      const Node& node = mNodes.at(aOther);
      return node.mIsUp && !node.mIsPaused && !node.mIsLeaving;
    };
    hooks.mCandidates = [this] {
      std::vector<std::pair<VmId, FailureDomainId>> candidates;
      for (const auto& [vm, node] : mNodes) {
        if (node.mIsUp && !node.mIsPaused && !node.mIsLeaving) {
          candidates.emplace_back(vm, FailureDomainId("domain-" + vm.mName));
        }
      }
      return candidates;
    };
    hooks.mOnAcquired = [this, aVm](std::uint32_t aSlot,
                                    std::uint64_t aEpoch,
                                    TimePoint aNow,
                                    EffectList& aOut) {
      mNodes.at(aVm).mExecutions->OnSlotAcquired(aSlot, aEpoch, aNow, aOut);
    };
    hooks.mOnLost =
      [this, aVm](std::uint32_t aSlot, TimePoint aNow, EffectList& aOut) {
        mNodes.at(aVm).mExecutions->OnSlotLost(aSlot, aNow, aOut);
      };
    return hooks;
  }

  ExecutionsHooks ExecutionHooks(const VmId& aVm)
  {
    ExecutionsHooks hooks;
    hooks.mPeers = [this, aVm] {
      std::vector<VmId> peers;
      for (const auto& [vm, node] : mNodes) {
        if (vm != aVm && node.mIsUp && !node.mIsPaused) {
          peers.push_back(vm);
        }
      }
      return peers;
    };
    hooks.mCopyHolder = [peers = hooks.mPeers](std::uint32_t) {
      const std::vector<VmId> all = peers();
      return all.empty() ? std::nullopt : std::optional<VmId>(all.front());
    };
    hooks.mWallSeconds = [this] {
      return mWallOffset + std::chrono::duration_cast<std::chrono::seconds>(
                             mNow.time_since_epoch())
                             .count();
    };
    return hooks;
  }

  ExecutionRequest Make(RequestId aId, const TestRequest& aRequest) const
  {
    return { .mRequest = aId,
             .mAccount = AccountId(aRequest.mAccount),
             .mRoute = RouteId(aRequest.mRoute),
             .mIdempotencyKey = aRequest.mKey,
             .mTicket = aRequest.mTicket,
             .mContent = DigestContent(aRequest.mBody),
             .mDeadline = mNow + aRequest.mTimeout };
  }

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
    fired.mWatch = { Concern::SlotTable, 0 };
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
        if (call.mConcern == Concern::SlotTable) {
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
    if (to == mNodes.end() || (mLoses && mLoses(aSend.mTo, message))) {
      return;
    }
    const auto delays = mDelays ? mDelays() : std::vector<Duration>{ 1ms };
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

  void Decide(Node& aNode, const ExecutionDecision& aDecision)
  {
    const std::string identity = mIdentities.at(aDecision.mRequest);
    if (aDecision.mRun) {
      Dispatch(aNode, aDecision.mRequest, identity);
      return;
    }
    const bool isNotRun =
      !aDecision.mAnswer && aDecision.mRefusal.mExecution == Execution::NotRun;
    if (isNotRun && mDispatched.contains(aDecision.mRequest)) {
      ++mFalseNotRun;
    }
    mOutcomes[aDecision.mRequest] = { aDecision.mAnswer, aDecision.mRefusal };
  }

  static Refusal NotReached()
  {
    Refusal refusal;
    refusal.mCode = ResultCode::NoBackend;
    return refusal;
  }

  void Dispatch(Node& aNode, RequestId aRequest, const std::string& aIdentity)
  {
    const BackendAct act = mAct;
    if (act != BackendAct::NotReached) {
      ++mRuns[aIdentity];
      mDispatched.insert(aRequest);
    }
    AnswerContent answer;
    answer.mStatus = 200;
    answer.mBody = "answer to " + aIdentity;
    answer.mBody.resize(std::max(answer.mBody.size(), mBodyBytes));
    const auto content = std::make_shared<const AnswerContent>(answer);
    Schedule(mBackendTime, aNode.mSelf, [=, this](Node& aAt, EffectList& aOut) {
      Executions& executions = *aAt.mExecutions;
      if (act == BackendAct::Answer) {
        executions.OnAnswered(aRequest, content, mNow, aOut);
      } else if (act == BackendAct::LoseAnswer) {
        executions.OnUnknown(aRequest, mNow, aOut);
      } else {
        executions.OnNotRun(aRequest, NotReached(), mNow, aOut);
      }
    });
  }

  TimePoint mNow{ 1s };
  std::uint64_t mProcesses = 0;
  std::uint64_t mLastRequest = 0;
  std::multimap<TimePoint, std::function<void()>> mScheduled;
};

} // namespace cranberrywing::execution_testing
