// Random faults over a small fleet, with fixed seeds. Guards against faults
// that only a combination of failures brings about: a second execution, a
// false "not run", a crossed answer, a request without an outcome, or a fleet
// that does not recover once the faults are over.
#include <catch2/catch.hpp>

#include <list>
#include <random>

#include "world.h"

using namespace cranberrywing;
using namespace cranberrywing::scenario;

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(8);
constexpr Duration kFaults = std::chrono::seconds(60);
/// Time for leases, suspicions and reviews to settle after the last fault.
constexpr Duration kRecovery = std::chrono::seconds(45);
constexpr int kFirstSeed = 1;
constexpr int kLastSeed = 24;

/// Makes a script of random steps.
class ScriptMaker
{
public:
  explicit ScriptMaker(int aSeed)
    : mRandom(static_cast<std::uint64_t>(aSeed))
  {
    mScript =
      ReadScript(std::string(CW_TESTSUITE) + "/basic_path/scenario.yaml");
    mScript.mSteps.clear();
    mScript.mExpectations.clear();
    mScript.mSeed = static_cast<std::uint64_t>(aSeed);
  }

  Script Make()
  {
    Add({}, "start", "[vm-1, vm-2, vm-3]");
    for (mAt = kWarmUp; mAt < kWarmUp + kFaults;
         mAt += std::chrono::milliseconds(Pick(20, 120))) {
      AddRequest();
      if (Pick(0, 9) == 0) {
        AddFault();
      }
    }
    AddRecovery();
    AddProbes();
    return std::move(mScript);
  }

private:
  int Pick(int aLeast, int aGreatest)
  {
    return std::uniform_int_distribution<int>(aLeast, aGreatest)(mRandom);
  }

  std::string PickVm() { return "vm-" + std::to_string(Pick(1, 3)); }

  template<class... Text>
  std::string PickOf(Text... aText)
  {
    const std::vector<std::string> texts{ aText... };
    const int last = static_cast<int>(texts.size()) - 1;
    return texts[static_cast<std::size_t>(Pick(0, last))];
  }

  void Add(Duration aAt, const std::string& aAction, const std::string& aYaml)
  {
    mScript.mSteps.push_back({ TimePoint(aAt), aAction, YAML::Load(aYaml) });
  }

  void AddRequest()
  {
    const std::string id = std::to_string(mNextId++);
    const std::string common = "{vm: " + PickVm() + ", key: shop-key, ";
    const int kind = Pick(0, 9);
    if (kind < 3) {
      Add(mAt, "request", common + "id: get-" + id + ", target: /prices}");
      return;
    }
    if (kind == 3) {
      Add(mAt, "ticket", common + "id: t-" + id + ", route: orders}");
      mTickets.push_back("t-" + id);
      return;
    }
    if (kind == 4 && !mTickets.empty()) {
      const std::string ticket = mTickets[static_cast<std::size_t>(
        Pick(0, static_cast<int>(mTickets.size()) - 1))];
      Add(mAt,
          "request",
          common + "id: use-" + id + ", method: POST, target: /orders, " +
            "ticket_of: " + ticket + ", body: order-" + ticket + "}");
      return;
    }
    // A small set of keys, so that most are repeated within the faults.
    const std::string key = std::to_string(Pick(0, 150));
    Add(mAt,
        "request",
        common + "id: post-" + id + ", method: POST, target: /orders, " +
          "idempotency_key: k" + key + ", body: order-" + key + "}");
  }

  void AddFault()
  {
    const Duration end = mAt + std::chrono::milliseconds(Pick(100, 12000));
    switch (Pick(0, 8)) {
      case 0: {
        const std::string vm = PickVm();
        Add(mAt, "kill", "[" + vm + "]");
        Add(end, "start", "[" + vm + "]");
        return;
      }
      case 1: {
        const std::string vm = PickVm();
        Add(mAt, "pause", "[" + vm + "]");
        Add(end, "resume", "[" + vm + "]");
        return;
      }
      case 2:
        Add(mAt, "cut", PickOf("[[vm-3], [vm-1, vm-2]]", "[[vm-1], [vm-2]]"));
        Add(end, "heal", "true");
        return;
      case 3:
        Add(mAt, "store", PickOf("down", "loses_answers"));
        Add(end, "store", "up");
        return;
      case 4: {
        const std::string vm = PickVm();
        Add(mAt, "store_cut", "[" + vm + "]");
        Add(end, "store_join", "[" + vm + "]");
        return;
      }
      case 5:
        Add(mAt, "network", "{drop: 0.3, duplicate: 0.3, jitter: 200ms}");
        Add(end, "network", "{}");
        return;
      case 6: {
        const std::string name = "name: ord-" + std::to_string(Pick(1, 3));
        const std::string mode =
          PickOf("hangs", "refuses", "fails", "sheds", "answers");
        Add(mAt,
            "backend",
            "{" + name + ", mode: " + mode +
              ", latency: " + std::to_string(Pick(1, 2000)) + "ms}");
        Add(end, "backend", "{" + name + ", latency: 5ms}");
        return;
      }
      case 7: {
        const std::string vm = PickVm();
        Add(mAt, "shutdown", vm);
        Add(mAt + std::chrono::seconds(15), "start", "[" + vm + "]");
        return;
      }
      default: {
        const std::string vm = PickVm();
        Add(mAt, "kill", "[" + vm + "]");
        Add(mAt, "unlist", "[" + vm + "]");
        Add(end, "start", "[" + vm + "]");
        return;
      }
    }
  }

  void AddRecovery()
  {
    const Duration at = kWarmUp + kFaults + std::chrono::seconds(16);
    Add(at, "store", "up");
    Add(at, "heal", "true");
    Add(at, "network", "{}");
    Add(at, "store_join", "[vm-1, vm-2, vm-3]");
    Add(at, "resume", "[vm-1, vm-2, vm-3]");
    Add(at, "backend", "{name: [ord-1, ord-2, ord-3], latency: 5ms}");
    mAt = at + kRecovery;
  }

  /// Requests to every VM once the fleet has recovered.
  void AddProbes()
  {
    for (const std::string vm : { "vm-1", "vm-2", "vm-3" }) {
      Add(mAt,
          "request",
          "{vm: " + vm + ", key: shop-key, id: end-get-" + vm +
            ", target: /prices}");
      Add(mAt,
          "request",
          "{vm: " + vm + ", key: shop-key, id: end-post-" + vm +
            ", method: POST, target: /orders, idempotency_key: end-" + vm +
            "}");
    }
    mScript.mEnd = TimePoint(mAt + std::chrono::seconds(12));
    std::list<Step> steps(mScript.mSteps.begin(), mScript.mSteps.end());
    steps.sort([](const Step& aLeft, const Step& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
    // A new vector: assigning a YAML::Node would change what it shares.
    mScript.mSteps = std::vector<Step>(steps.begin(), steps.end());
  }

  std::mt19937_64 mRandom;
  Script mScript;
  Duration mAt{};
  int mNextId = 0;
  std::vector<std::string> mTickets;
};

} // namespace

TEST_CASE("random faults violate no guarantee and the fleet recovers")
{
  for (int seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    DYNAMIC_SECTION("seed " << seed)
    {
      const Script script = ScriptMaker(seed).Make();
      World world(script);
      world.RunAll();
      for (const std::string& violation : world.Violations()) {
        FAIL_CHECK(violation);
      }
      for (const std::string kind : { "end-get-", "end-post-" }) {
        const Expectation recovered{
          "outcomes",
          YAML::Load("{prefix: " + kind + ", is: answered, exactly: 3}")
        };
        CHECK(world.Check(recovered) == "");
      }
    }
  }
}
