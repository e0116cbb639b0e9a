/// \file
/// At-most-once execution of non-idempotent requests by claims and tickets,
/// and the answers kept for repeats (design 3.4).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/slots.h"

namespace cranberrywing {

/// One caller's wish for an execution.
struct ExecutionRequest
{
  RequestId mRequest{};
  AccountId mAccount;
  RouteId mRoute;
  /// Exactly one of the two is set.
  std::string mIdempotencyKey;
  std::string mTicket;
  /// Digest of method, target and body.
  ContentDigest mContent;
  TimePoint mDeadline{};
};

/// Where a request has to run.
struct ExecutionPlace
{
  std::uint32_t mSlot = 0;
  ExecutionId mExecution;
  /// Owner of the slot, if one is known.
  std::optional<SlotOwner> mOwner;
  bool mIsOwnedHere = false;
};

/// What became of a waiting request.
struct ExecutionDecision
{
  RequestId mRequest{};
  /// Run it now: dispatch once, then call OnAnswered, OnUnknown or OnNotRun.
  bool mRun = false;
  /// Else an answer of the earlier execution, if set.
  AnswerContentPtr mAnswer;
  /// Else this refusal.
  Refusal mRefusal;
};

struct ExecutionsHooks
{
  /// A usable VM in another failure domain, to hold copies of a slot's
  /// answers; the same one while it is usable.
  std::function<std::optional<VmId>(std::uint32_t)> mCopyHolder;
  /// Every usable peer, to be asked for copies after a takeover.
  std::function<std::vector<VmId>()> mPeers;
  /// Wall clock in seconds, for the expiry of claims and tickets; set by the
  /// driver at each event.
  std::function<std::int64_t()> mWallSeconds;
};

/// Not thread-safe; owned by the reducer.
class Executions
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    std::string mStorePrefix = "/cw/claims/";
    std::uint64_t mSeed = 1;
    /// Longest wait for a copy's acknowledgement.
    Duration mCopyWait = std::chrono::milliseconds(20);
    /// Most bytes of kept answers; the oldest are dropped first, after which
    /// a repeat is told Completed without the answer.
    std::size_t mKeptBytes = 32u << 20;
  };

  /// Precondition: aSlots outlives this object.
  Executions(Options aOptions, ExecutionsHooks aHooks, SlotTable& aSlots);

  void Apply(const SettingsSnapshot& aSettings);

  /// Slot and execution of a request. Errors: IdempotencyKeyRequired,
  /// ConflictingIdentities, InvalidTicket.
  Result<ExecutionPlace> Locate(const ExecutionRequest& aRequest) const;

  /// Starts a request whose slot this process owns. Its decision comes from
  /// TakeDecisions, at once or after a claim was committed.
  void Begin(const ExecutionRequest& aRequest,
             TimePoint aNow,
             EffectList& aOut);
  std::vector<ExecutionDecision> TakeDecisions();
  /// The caller has gone or the request was refused elsewhere. An execution
  /// that runs goes on, to keep its answer.
  void Forget(RequestId aRequest);

  /// The backend server's answer. It is kept, copied, then given to all who
  /// wait: the first caller too gets it through TakeDecisions.
  void OnAnswered(RequestId aRequest,
                  AnswerContentPtr aAnswer,
                  TimePoint aNow,
                  EffectList& aOut);
  /// The request may have run; all who wait are told so and it never runs
  /// again.
  void OnUnknown(RequestId aRequest, TimePoint aNow, EffectList& aOut);
  /// No byte reached a server and none will; the same key may run later.
  void OnNotRun(RequestId aRequest,
                Refusal aRefusal,
                TimePoint aNow,
                EffectList& aOut);

  /// A new ticket for a slot that this process owns; NotOwner if it owns
  /// none, so that the caller is sent to an owner.
  Result<std::string> IssueTicket(const AccountId& aAccount,
                                  const RouteId& aRoute,
                                  TimePoint aNow);

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnSlotAcquired(std::uint32_t aSlot,
                      std::uint64_t aEpoch,
                      TimePoint aNow,
                      EffectList& aOut);
  void OnSlotLost(std::uint32_t aSlot, TimePoint aNow, EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopy& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopyAck& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopyQuery& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::SlotHandover& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);

  /// Whether a slot has nothing running or being committed, so that it can
  /// be handed over.
  bool IsIdle(std::uint32_t aSlot) const;
  /// Stops running requests of the slot and returns its state for handover.
  message::SlotHandover Freeze(std::uint32_t aSlot, std::uint64_t aEpoch);

private:
  Options mOptions;
  ExecutionsHooks mHooks;
  SlotTable& mSlots;
};

} // namespace cranberrywing
