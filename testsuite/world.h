/// \file
/// Several reducers joined by scripted delivery, a store, a VM list and
/// backend servers that answer as told. It models no traffic and no queues.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cranberrywing/reducer.h"
#include "script.h"
#include "testing/execution_store.h"

namespace cranberrywing::scenario {

/// How a request ended for its caller.
struct Outcome
{
  bool mIsAnswered = false;
  bool mIsReplayed = false;
  ResultCode mCode = ResultCode::Ok;
  Execution mExecution = Execution::Completed;
  std::string mBody;
  TimePoint mAt{};
};

/// One run of a request on a backend server.
struct Run
{
  std::string mBackend;
  /// Body of the request, by which scenarios name executions.
  std::string mLabel;
  bool mIsIdempotent = false;
  TimePoint mAt{};
};

class World
{
public:
  explicit World(const Script& aScript);

  void RunAll();

  /// Checks one expectation; empty if it holds, else what was seen.
  std::string Check(const Expectation& aExpectation) const;
  /// Violations of what must hold in every scenario.
  std::vector<std::string> Violations() const;

private:
  enum class BackendMode : std::uint8_t
  {
    Answers,
    Hangs,
    Refuses,
    Fails,
    Sheds,
    /// Ends when it runs a request whose body starts with "crash".
    Crashes,
  };

  struct Backend
  {
    BackendMode mMode = BackendMode::Answers;
    Duration mLatency = std::chrono::milliseconds(5);
    bool mSaysHealthy = true;
    bool mIsDown = false;
    double mReportedRate = 1;
  };

  enum class StoreMode : std::uint8_t
  {
    Up,
    Down,
    /// Writes take effect but their answers are lost.
    LosesAnswers,
  };

  struct Vm
  {
    std::string mName;
    MemberUpdate mSelf;
    std::unique_ptr<Reducer> mReducer;
    std::uint64_t mStarts = 0;
    bool mIsPaused = false;
    bool mHasStore = true;
    bool mHasExited = false;
    std::vector<Event> mHeldBack;
    std::map<StoreCallId, effect::WatchStore> mWatches;
    std::map<StoreCallId, std::size_t> mWatchPosition;
  };

  /// A caller's lookup answer.
  struct CachedLookup
  {
    std::vector<std::string> mVms;
    TimePoint mExpiry{};
  };

  struct Scheduled
  {
    TimePoint mAt{};
    std::uint64_t mOrder = 0;
    std::string mVm;
    std::uint64_t mStart = 0;
    Event mEvent;

    bool operator>(const Scheduled& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  // world.cpp
  void Schedule(Vm& aVm, TimePoint aAt, Event aEvent);
  void Deliver(Vm& aVm, const Event& aEvent);
  void TickAll();
  void TickWatches(Vm& aVm);
  std::int64_t WallSeconds() const;

  // world_actions.cpp
  void Act(const Step& aStep);
  void Start(Vm& aVm);
  void Kill(Vm& aVm);
  void Pause(const YAML::Node& aArguments);
  void SendRequest(const YAML::Node& aArguments);
  /// VM that a caller's cached lookup answer names.
  Vm& ChooseVm(const YAML::Node& aArguments);
  void SendEdit(const YAML::Node& aArguments);
  void SetBackend(const YAML::Node& aArguments);
  void SetNetwork(const YAML::Node& aArguments);
  void Cut(const YAML::Node& aArguments);

  // world_effects.cpp
  void CarryOut(Vm& aVm, const EffectList& aEffects);
  void Run(Vm& aVm, const effect::Dispatch& aDispatch);
  void Send(Vm& aVm, const effect::SendMessage& aMessage);
  void CallStore(Vm& aVm, const effect::CallStore& aCall);
  void Probe(Vm& aVm, const effect::ProbeBackend& aProbe);
  Vm* FindReceiver(const effect::SendMessage& aMessage);
  bool IsCut(const Vm& aLeft, const Vm& aRight) const;
  bool Happens(double aProbability);

  // world_checks.cpp
  std::string CheckOutcome(const YAML::Node& aArguments) const;
  std::string CheckRuns(const YAML::Node& aArguments) const;
  std::string CheckBackendRuns(const YAML::Node& aArguments) const;
  std::string CheckRevision(const YAML::Node& aArguments) const;
  std::string CheckTimeline(const YAML::Node& aArguments) const;
  std::string CheckOutcomeCount(const YAML::Node& aArguments) const;
  std::string CheckExited(const YAML::Node& aArguments) const;
  bool HasRunBefore(const std::string& aLabel, TimePoint aAt) const;
  std::size_t CountRuns(const std::string& aLabel) const;

  const Script& mScript;
  TimePoint mNow{};
  std::mt19937_64 mRandom;
  std::uint64_t mOrder = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
    mSchedule;
  std::map<std::string, Vm> mVms;
  std::map<std::string, Backend> mBackends;
  execution_testing::MemoryStore mStore;
  StoreMode mStoreMode = StoreMode::Up;
  std::set<std::string> mListed;
  std::set<std::pair<std::string, std::string>> mCuts;
  double mDrop = 0;
  double mDuplicate = 0;
  Duration mJitter{};
  std::uint64_t mNextRequest = 1;
  /// Labels of requests by the VM that took them and their number there.
  std::map<std::pair<std::string, RequestId>, std::string> mRequestNames;
  std::map<std::string, std::string> mBodyOf;
  std::map<std::string, TimePoint> mSentAt;
  std::map<std::string, CachedLookup> mLookups;
  /// Caller whose lookup is being answered.
  std::string mLookupCaller;
  std::map<std::string, Outcome> mOutcomes;
  std::map<std::string, effect::AnswerEdit> mEdits;
  std::map<std::string, std::string> mTickets;
  std::vector<scenario::Run> mRuns;
  std::map<std::string, std::vector<std::string>> mTimeline;
};

} // namespace cranberrywing::scenario
