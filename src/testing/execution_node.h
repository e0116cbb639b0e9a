// One daemon's slots and executions under test, its faults, and its requests.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberrywing/executions.h"

namespace cranberrywing::execution_testing {

using namespace std::chrono_literals;

/// Between one node and the store.
enum class StoreFault : std::uint8_t
{
  None,
  /// Calls certainly have no effect.
  Outage,
  /// Calls take effect; their answers are lost.
  LostAnswer,
  /// The outcome is reported as unknown; the call takes effect 2 s later.
  LateEffect,
  /// Calls have no effect, which the caller is not told.
  LostCall,
};

/// What becomes of a dispatched request.
enum class BackendBehavior : std::uint8_t
{
  Answer,
  /// It runs; the answer is lost.
  LoseAnswer,
  /// The connection fails before the first byte.
  NotReached,
};

struct Outcome
{
  AnswerContentPtr mAnswer;
  Refusal mRefusal;

  bool Is(ResultCode aCode, Execution aExecution) const
  {
    return !mAnswer && mRefusal.mCode == aCode &&
           mRefusal.mExecution == aExecution;
  }
};

struct TestRequest
{
  std::string mKey = "";
  std::string mTicket = "";
  std::string mBody = "body";
  Duration mTimeout = 2s;
  std::string mAccount = "shops";
  std::string mRoute = "restock";
};

struct Node
{
  VmIncarnation mSelf;
  bool mIsUp = false;
  bool mIsPaused = false;
  bool mIsLeaving = false;
  StoreFault mFault = StoreFault::None;
  std::size_t mStoreCalls = 0;
  std::unique_ptr<SlotTable> mSlots;
  std::unique_ptr<Executions> mExecutions;
  std::vector<std::function<void(Node&, EffectList&)>> mBacklog;
  bool mIsWatching = false;
  std::size_t mWatchPosition = 0;
  std::int64_t mWatchFrom = 0;
  TimePoint mLastProgress{};
};

} // namespace cranberrywing::execution_testing
