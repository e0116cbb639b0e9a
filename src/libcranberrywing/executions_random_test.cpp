// Random combinations of faults with fixed seeds. In every run, each identity
// runs at most once and no request that ran is reported as not run.
#include <catch2/catch.hpp>

#include "testing/execution_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::execution_testing;

namespace {

constexpr std::size_t kNodes = 3;
constexpr int kSteps = 500;

/// A fleet under random requests and faults.
class Chaos
{
public:
  explicit Chaos(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mFleet(kNodes, Settings())
  {
    mFleet.mIsMessageLost = [this](const VmId&, const Message&) {
      return Chance(5);
    };
    mFleet.mDeliveryDelays = [this] {
      std::vector<Duration> delays(Chance(10) ? 2 : 1);
      for (Duration& delay : delays) {
        delay = std::chrono::milliseconds(1 + Below(Chance(10) ? 900 : 20));
      }
      return delays;
    };
    mFleet.Run(4s);
  }

  /// Performs one random action and advances the time.
  void Step()
  {
    switch (Below(24)) {
      case 0:
        RestartOrKill();
        break;
      case 1:
        PauseOrResume();
        break;
      case 2:
        SetFaults();
        break;
      case 3:
        mFleet.mBackendBehavior = static_cast<BackendBehavior>(Below(3));
        mFleet.mBackendTime = std::chrono::milliseconds(5 + Below(3'000));
        break;
      case 4:
        Release();
        break;
      case 5:
      case 6:
        IssueTicket();
        break;
      default:
        Submit();
        break;
    }
    mFleet.Run(std::chrono::milliseconds(10 + Below(800)));
  }

  /// Ends all faults, then repeats the request of every identity.
  void RecoverAndRepeat()
  {
    mFleet.mIsMessageLost = nullptr;
    mFleet.mBackendBehavior = BackendBehavior::Answer;
    mFleet.mBackendTime = 20ms;
    for (auto& [vm, node] : mFleet.mNodes) {
      node.mFault = StoreFault::None;
      if (node.mIsPaused) {
        mFleet.Resume(node);
      }
      if (!node.mIsUp || node.mIsLeaving) {
        mFleet.Start(node);
      }
    }
    mFleet.Run(30s);
    for (const TestRequest& identity : mIdentities) {
      mFleet.Submit(identity);
    }
    mFleet.Run(10s);
  }

  std::mt19937_64 mRandom;
  Fleet mFleet;
  std::vector<TestRequest> mIdentities;

private:
  static FleetSettings Settings()
  {
    FleetSettings settings;
    settings.mSlotCount = 6;
    return settings;
  }

  std::uint64_t Below(std::uint64_t aLimit) { return mRandom() % aLimit; }
  bool Chance(std::uint64_t aPercent) { return Below(100) < aPercent; }
  Node& AnyNode() { return mFleet.At(Below(kNodes)); }

  void RestartOrKill()
  {
    Node& node = AnyNode();
    mFleet.Kill(node);
    if (Chance(30)) {
      mFleet.mDead.insert(node.mSelf);
    }
    if (Chance(50)) {
      mFleet.Start(node);
    }
  }

  void PauseOrResume()
  {
    Node& node = AnyNode();
    if (node.mIsPaused) {
      mFleet.Resume(node);
    } else {
      node.mIsPaused = node.mIsUp;
    }
  }

  void SetFaults()
  {
    const auto fault = static_cast<StoreFault>(Chance(50) ? 0 : Below(5));
    const bool isGlobal = Chance(30);
    for (auto& [vm, node] : mFleet.mNodes) {
      if (isGlobal || Chance(40)) {
        node.mFault = fault;
      }
    }
  }

  void Release()
  {
    Node& node = AnyNode();
    if (node.mIsUp && !node.mIsPaused && !node.mIsLeaving) {
      mFleet.Release(node);
    }
  }

  void IssueTicket()
  {
    Node& node = AnyNode();
    if (!node.mIsUp || node.mIsPaused) {
      return;
    }
    const auto ticket = node.mExecutions->IssueTicket(
      AccountId("shops"), RouteId("restock"), mFleet.Now());
    if (ticket) {
      mIdentities.push_back({ .mTicket = *ticket });
    }
  }

  void Submit()
  {
    if (mIdentities.empty() || Chance(30)) {
      mIdentities.push_back(
        { .mKey = "key-" + std::to_string(mIdentities.size()) });
    }
    // Prefers recent identities, so that repeats coincide with faults.
    const std::size_t count = mIdentities.size();
    const std::size_t back = Below(std::min<std::size_t>(count, 12));
    TestRequest request = mIdentities[count - 1 - back];
    request.mTimeout = std::chrono::milliseconds(200 + Below(8'000));
    if (Chance(70)) {
      mFleet.Submit(request);
    } else {
      mFleet.BeginAt(AnyNode(), request);
    }
  }
};

} // namespace

// No identity may run twice and no "not run" may be false under any sequence of
// crashes, pauses, store outages, lost and late replies, lost and duplicated
// messages, planned handovers and repeated requests.
TEST_CASE("no identity runs twice under random faults")
{
  int ran = 0;
  int answered = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Chaos chaos(seed);
    for (int n = 0; n < kSteps; ++n) {
      chaos.Step();
    }
    chaos.RecoverAndRepeat();
    INFO("seed " << seed);
    for (const TestRequest& identity : chaos.mIdentities) {
      const int runs = chaos.mFleet.Runs(identity.mKey + identity.mTicket);
      INFO(identity.mKey << identity.mTicket);
      REQUIRE(runs <= 1);
      ran += runs;
    }
    REQUIRE(chaos.mFleet.mFalseNotRunCount == 0);
    for (const auto& [request, outcome] : chaos.mFleet.mOutcomes) {
      answered += outcome.mAnswer ? 1 : 0;
    }
  }
  // Enough requests must succeed despite the faults for the test to be
  // meaningful.
  CHECK(ran > 2'000);
  CHECK(answered > 2'000);
}
