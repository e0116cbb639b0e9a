/// \file
/// Simulates a fleet of reducers in virtual time with a network, a store, a VM
/// list and scripted backend servers. Traffic volume and queues are not
/// modelled.
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

/// Result of a request as its caller sees it.
struct Outcome
{
  bool mIsAnswered = false;
  bool mIsReplayed = false;
  ResultCode mCode = ResultCode::Ok;
  Execution mExecution = Execution::Completed;
  std::string mBody;
  TimePoint mAt{};
};

/// One execution of a request on a backend server.
struct Run
{
  std::string mBackend;
  /// Body of the request, by which expectations identify it.
  std::string mLabel;
  bool mIsIdempotent = false;
  TimePoint mAt{};
};

/// Runs one scenario. Not thread-safe.
class World
{
public:
  /// The script must outlive this object.
  explicit World(const Script& aScript);

  /// Executes all steps until the scenario's end; to be called once.
  /// Throws a std::exception on an unknown action or an invalid argument.
  void RunToEnd();

  /// Checks one expectation. Returns an empty string if it holds, else the
  /// actual result. Throws std::runtime_error if the kind is unknown.
  std::string Check(const Expectation& aExpectation) const;
  /// Returns the violations of the invariants that hold in every scenario; see
  /// testsuite/README.md.
  std::vector<std::string> Violations() const;

private:
  enum class BackendMode : std::uint8_t
  {
    Answers,
    Hangs,
    Refuses,
    Fails,
    Sheds,
    /// The server process ends when it runs a request whose body starts with
    /// "crash".
    Crashes,
  };

  struct Backend
  {
    BackendMode mMode = BackendMode::Answers;
    Duration mLatency = std::chrono::milliseconds(5);
    /// Result of health probes while the server accepts connections.
    bool mReportsHealthy = true;
    /// Whether the server has crashed.
    bool mIsDown = false;
    /// Requests per second in load reports.
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
    /// Number of processes started on this VM.
    std::uint64_t mStartCount = 0;
    bool mIsPaused = false;
    bool mHasStore = true;
    /// Whether connections to backend servers can be opened.
    bool mHasServers = true;
    bool mHasExited = false;
    /// Events that wait for the end of a pause.
    std::vector<Event> mDeferredEvents;
    std::map<StoreCallId, effect::WatchStore> mWatches;
    /// Index of the next store change to report, per watch.
    std::map<StoreCallId, std::size_t> mWatchPosition;
  };

  /// A lookup answer in a caller's cache.
  struct CachedLookup
  {
    std::vector<std::string> mVms;
    TimePoint mExpiry{};
  };

  /// An event for one process of a VM; dropped if that process has ended.
  struct Scheduled
  {
    TimePoint mAt{};
    std::uint64_t mOrder = 0;
    std::string mVm;
    std::uint64_t mStartNumber = 0;
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
  void ExecuteStep(const Step& aStep);
  void Start(Vm& aVm);
  void Kill(Vm& aVm);
  void Pause(const YAML::Node& aArguments);
  void SendRequest(const YAML::Node& aArguments);
  /// Returns the VM that a caller uses according to its cached lookup answer,
  /// which is renewed if expired.
  Vm& ChooseVm(const YAML::Node& aArguments);
  void SendEdit(const YAML::Node& aArguments);
  void SetBackend(const YAML::Node& aArguments);
  void SetNetwork(const YAML::Node& aArguments);
  void AddPartition(const YAML::Node& aArguments);

  // world_effects.cpp
  void ExecuteEffects(Vm& aVm, const EffectList& aEffects);
  void Run(Vm& aVm, const effect::Dispatch& aDispatch);
  void Send(Vm& aVm, const effect::SendMessage& aMessage);
  void CallStore(Vm& aVm, const effect::CallStore& aCall);
  void Probe(Vm& aVm, const effect::ProbeBackend& aProbe);
  Vm* FindReceiver(const effect::SendMessage& aMessage);
  bool IsPartitioned(const Vm& aLeft, const Vm& aRight) const;
  /// Returns true with the given probability.
  bool DrawChance(double aProbability);

  // world_checks.cpp
  std::string CheckOutcome(const YAML::Node& aArguments) const;
  std::string CheckRuns(const YAML::Node& aArguments) const;
  std::string CheckBackendRuns(const YAML::Node& aArguments) const;
  std::string CheckRevision(const YAML::Node& aArguments) const;
  std::string CheckTimeline(const YAML::Node& aArguments) const;
  std::string CheckOutcomeCount(const YAML::Node& aArguments) const;
  std::string CheckExited(const YAML::Node& aArguments) const;
  bool HasRunNonIdempotent(const std::string& aLabel, TimePoint aAt) const;
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
  /// VMs on the platform's VM list.
  std::set<std::string> mListedVms;
  /// Pairs of VMs that cannot reach each other, in both orders.
  std::set<std::pair<std::string, std::string>> mPartitions;
  double mDropProbability = 0;
  double mDuplicateProbability = 0;
  Duration mMaxJitter{};
  std::uint64_t mNextRequest = 1;
  /// Scenario ids of requests, by the VM that received them and their request
  /// id there.
  std::map<std::pair<std::string, RequestId>, std::string> mRequestLabels;
  /// By the request's scenario id, as are the maps below unless noted.
  std::map<std::string, std::string> mRequestBodies;
  std::map<std::string, TimePoint> mSendTimes;
  /// By client address.
  std::map<std::string, CachedLookup> mLookups;
  /// Client address of the lookup in progress.
  std::string mLookupCaller;
  std::map<std::string, Outcome> mOutcomes;
  std::map<std::string, effect::AnswerEdit> mEdits;
  std::map<std::string, std::string> mTickets;
  std::vector<scenario::Run> mRuns;
  /// Identifiers of the attempts that were sent, by process: VM, incarnation,
  /// request and attempt.
  std::set<std::tuple<std::string, std::uint64_t, RequestId, AttemptNumber>>
    mAttempts;
  /// Bodies of requests that were sent twice with the same identifier.
  std::vector<std::string> mRepeatedAttempts;
  /// Timeline entries by VM.
  std::map<std::string, std::vector<std::string>> mTimeline;
};

} // namespace cranberrywing::scenario
