/// \file
/// State of one simulated daemon, the faults that it is subject to, and the
/// requests that tests send to it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberrywing/executions.h"

namespace cranberrywing::execution_testing {

using namespace std::chrono_literals;

/// Fault on the path between one node and the store.
enum class StoreFault : std::uint8_t
{
  None,
  /// Calls fail without effect and the caller is told so.
  Outage,
  /// Calls take effect, but their replies are lost.
  LostAnswer,
  /// The caller is told that the outcome is unknown; the call takes effect 2 s
  /// later.
  LateEffect,
  /// Calls have no effect; the caller is told that the outcome is unknown.
  LostCall,
};

/// How the simulated backend servers treat dispatched requests.
enum class BackendBehavior : std::uint8_t
{
  Answer,
  /// The request runs, but its answer is lost.
  LoseAnswer,
  /// The connection fails before the first byte.
  NotReached,
};

/// Final answer or refusal of a request.
struct Outcome
{
  AnswerContentPtr mAnswer;
  Refusal mRefusal;

  /// Whether this is a refusal with the given code and execution state.
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

/// One VM and the process that runs on it.
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
  /// Handlers that wait for the end of a pause.
  std::vector<std::function<void(Node&, EffectList&)>> mDeferredHandlers;
  bool mIsWatching = false;
  /// Index of the next store change to report.
  std::size_t mWatchPosition = 0;
  std::int64_t mWatchFromRevision = 0;
  TimePoint mLastWatchProgress{};
};

} // namespace cranberrywing::execution_testing
