/// \file
/// A simulated fleet of nodes, each with a SlotTable and an Executions object,
/// that share one in-memory store.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testing/execution_driver.h"

namespace cranberrywing::execution_testing {

/// Starts, stops and addresses the nodes, and stands in for the request
/// pipeline and the backend servers. Not thread-safe.
class Fleet : public FleetDriver
{
public:
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

  /// Starts a new process on the node's VM; it replaces a running one.
  void Start(Node& aNode)
  {
    const VmId vm = aNode.mSelf.mVm;
    aNode = Node{};
    aNode.mSelf = { vm, Incarnation{ ++mLastIncarnation } };
    aNode.mIsUp = true;
    aNode.mSlots = std::make_unique<SlotTable>(
      SlotTable::Options{ .mSelf = aNode.mSelf }, SlotHooks(vm));
    Executions::Options options;
    options.mSelf = aNode.mSelf;
    options.mAnswerStoreBytes = mAnswerStoreBytes;
    aNode.mExecutions =
      std::make_unique<Executions>(options, ExecutionHooks(vm), *aNode.mSlots);
    aNode.mSlots->Apply(mSettings);
    aNode.mExecutions->Apply(mSettings);
  }

  /// Ends the process without a planned stop; what it had deferred is lost.
  void Kill(Node& aNode)
  {
    aNode.mIsUp = false;
    aNode.mIsWatching = false;
    aNode.mDeferredHandlers.clear();
  }

  /// Ends a pause and handles what was deferred meanwhile.
  void Resume(Node& aNode)
  {
    aNode.mIsPaused = false;
    for (const Handler& handler : std::exchange(aNode.mDeferredHandlers, {})) {
      Handle(aNode, handler);
    }
  }

  Node& At(std::size_t aIndex)
  {
    return mNodes.at(VmId("vm-" + std::to_string(aIndex)));
  }

  /// Returns the running node that considers itself the owner of the request's
  /// slot. Precondition: there is one.
  Node& OwnerOf(const TestRequest& aRequest)
  {
    return *OwnerOf(SlotOf(aRequest));
  }

  /// Returns the running node that considers itself the owner of the slot, or
  /// null.
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
    return At(0)
      .mExecutions->Locate(MakeRequest(RequestId{ 0 }, aRequest))
      ->mSlot;
  }

  /// Begins the request at the given node, whether or not it owns the slot.
  RequestId BeginAt(Node& aNode, const TestRequest& aRequest)
  {
    const RequestId id{ ++mLastRequest };
    mIdentities[id] = aRequest.mKey + aRequest.mTicket;
    const ExecutionRequest request = MakeRequest(id, aRequest);
    Handle(aNode, [=, this](Node& aReceiver, EffectList& aOut) {
      aReceiver.mExecutions->Begin(request, mNow, aOut);
    });
    return id;
  }

  /// Begins the request at its slot's owner or, if none runs, at node 0.
  RequestId Submit(const TestRequest& aRequest)
  {
    Node* owner = OwnerOf(SlotOf(aRequest));
    return BeginAt(owner != nullptr ? *owner : At(0), aRequest);
  }

  /// Releases all of the node's slots as in a planned stop. The node keeps
  /// running.
  void Release(Node& aNode)
  {
    aNode.mIsLeaving = true;
    Handle(aNode, [this](Node& aReceiver, EffectList& aOut) {
      aReceiver.mSlots->ReleaseAll(mNow, aOut);
    });
  }

  /// Issues a ticket for a request of the default account and route.
  std::string Ticket(Node& aNode)
  {
    return aNode.mExecutions
      ->IssueTicket(AccountId("shops"), RouteId("restock"), mNow)
      .value();
  }

  /// Returns the outcome, or null while the request is undecided.
  const Outcome* Find(RequestId aRequest) const
  {
    const auto it = mOutcomes.find(aRequest);
    return it == mOutcomes.end() ? nullptr : &it->second;
  }
  Outcome Get(RequestId aRequest) const { return mOutcomes.at(aRequest); }
  /// Returns how many requests with the identity (idempotency key and ticket)
  /// reached a backend server.
  int Runs(const std::string& aIdentity) { return mRuns[aIdentity]; }

  /// Processes whose end is proven to all nodes.
  std::set<VmIncarnation> mDead;
  BackendBehavior mBackendBehavior = BackendBehavior::Answer;
  Duration mBackendTime = 20ms;
  std::size_t mBodyBytes = 0;
  std::size_t mAnswerStoreBytes = 1u << 20;
  /// Unix time in seconds at virtual time zero.
  std::int64_t mWallClockOffset = 1'700'000'000;
  std::map<std::string, int> mRuns;
  std::map<RequestId, std::string> mIdentities;
  std::map<RequestId, Outcome> mOutcomes;
  /// Number of "not run" refusals although a request with the identity had
  /// reached a backend server. Must stay zero.
  int mFalseNotRunCount = 0;
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
      return mWallClockOffset +
             std::chrono::duration_cast<std::chrono::seconds>(
               mNow.time_since_epoch())
               .count();
    };
    return hooks;
  }

  ExecutionRequest MakeRequest(RequestId aId, const TestRequest& aRequest) const
  {
    return { .mRequest = aId,
             .mAccount = AccountId(aRequest.mAccount),
             .mRoute = RouteId(aRequest.mRoute),
             .mIdempotencyKey = aRequest.mKey,
             .mTicket = aRequest.mTicket,
             .mContent = DigestContent(aRequest.mBody),
             .mDeadline = mNow + aRequest.mTimeout };
  }

  void HandleDecision(Node& aNode, const ExecutionDecision& aDecision) override
  {
    const std::string identity = mIdentities.at(aDecision.mRequest);
    if (aDecision.mRun) {
      Dispatch(aNode, aDecision.mRequest, identity);
      return;
    }
    const bool saysNotRun =
      !aDecision.mAnswer && aDecision.mRefusal.mExecution == Execution::NotRun;
    if (saysNotRun && mRuns[identity] > 0) {
      ++mFalseNotRunCount;
    }
    mOutcomes[aDecision.mRequest] = { aDecision.mAnswer, aDecision.mRefusal };
  }

  static Refusal NotReached()
  {
    Refusal refusal;
    refusal.mCode = ResultCode::NoBackend;
    return refusal;
  }

  /// Stands in for a backend server: counts the run and schedules its end.
  void Dispatch(Node& aNode, RequestId aRequest, const std::string& aIdentity)
  {
    const BackendBehavior behavior = mBackendBehavior;
    if (behavior != BackendBehavior::NotReached) {
      ++mRuns[aIdentity];
    }
    AnswerContent answer;
    answer.mStatus = 200;
    answer.mBody = "answer to " + aIdentity;
    answer.mBody.resize(std::max(answer.mBody.size(), mBodyBytes));
    const auto content = std::make_shared<const AnswerContent>(answer);
    Schedule(
      mBackendTime, aNode.mSelf, [=, this](Node& aReceiver, EffectList& aOut) {
        Executions& executions = *aReceiver.mExecutions;
        if (behavior == BackendBehavior::Answer) {
          executions.OnAnswered(aRequest, content, mNow, aOut);
        } else if (behavior == BackendBehavior::LoseAnswer) {
          executions.OnOutcomeUnknown(aRequest, mNow, aOut);
        } else {
          executions.OnNotRun(aRequest, NotReached(), mNow, aOut);
        }
      });
  }

  std::uint64_t mLastIncarnation = 0;
  std::uint64_t mLastRequest = 0;
};

} // namespace cranberrywing::execution_testing
