// A few SlotTable and Executions pairs over one store. Submit does what the
// request pipeline does around Executions.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testing/execution_driver.h"

namespace cranberrywing::execution_testing {

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
    options.mAnswerStoreBytes = mAnswerStoreBytes;
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

  std::set<VmIncarnation> mDead;
  BackendBehavior mBackendBehavior = BackendBehavior::Answer;
  Duration mBackendTime = 20ms;
  std::size_t mBodyBytes = 0;
  std::size_t mAnswerStoreBytes = 1u << 20;
  std::int64_t mWallClockOffset = 1'700'000'000;
  std::map<std::string, int> mRuns;
  std::map<RequestId, std::string> mIdentities;
  std::map<RequestId, Outcome> mOutcomes;
  /// Answers of "not run" although a request of the identity reached a server.
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

  void Decide(Node& aNode, const ExecutionDecision& aDecision) override
  {
    const std::string identity = mIdentities.at(aDecision.mRequest);
    if (aDecision.mRun) {
      Dispatch(aNode, aDecision.mRequest, identity);
      return;
    }
    const bool isNotRun =
      !aDecision.mAnswer && aDecision.mRefusal.mExecution == Execution::NotRun;
    if (isNotRun && mRuns[identity] > 0) {
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

  void Dispatch(Node& aNode, RequestId aRequest, const std::string& aIdentity)
  {
    const BackendBehavior act = mBackendBehavior;
    if (act != BackendBehavior::NotReached) {
      ++mRuns[aIdentity];
    }
    AnswerContent answer;
    answer.mStatus = 200;
    answer.mBody = "answer to " + aIdentity;
    answer.mBody.resize(std::max(answer.mBody.size(), mBodyBytes));
    const auto content = std::make_shared<const AnswerContent>(answer);
    Schedule(mBackendTime, aNode.mSelf, [=, this](Node& aAt, EffectList& aOut) {
      Executions& executions = *aAt.mExecutions;
      if (act == BackendBehavior::Answer) {
        executions.OnAnswered(aRequest, content, mNow, aOut);
      } else if (act == BackendBehavior::LoseAnswer) {
        executions.OnOutcomeUnknown(aRequest, mNow, aOut);
      } else {
        executions.OnNotRun(aRequest, NotReached(), mNow, aOut);
      }
    });
  }

  std::uint64_t mProcesses = 0;
  std::uint64_t mLastRequest = 0;
};

} // namespace cranberrywing::execution_testing
