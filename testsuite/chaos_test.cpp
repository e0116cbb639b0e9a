// Injects random faults into a fleet of three VMs, with fixed seeds. Guards
// against errors that only a combination of failures causes: a second execution
// of a non-idempotent request, a refusal as "not run" of a request that ran, an
// answer to another request, a request without an outcome, or a fleet that does
// not recover after the faults.
#include <catch2/catch.hpp>

#include <list>
#include <random>

#include "world.h"

using namespace cranberrywing;
using namespace cranberrywing::scenario;

namespace {

constexpr Duration kWarmUpDuration = std::chrono::seconds(8);
constexpr Duration kFaultDuration = std::chrono::seconds(60);
/// Covers lease expiry, suspicion timeouts and share reviews after the last
/// fault.
constexpr Duration kRecoveryDuration = std::chrono::seconds(45);
constexpr int kFirstSeed = 1;
constexpr int kLastSeed = 24;

/// Generates a script of random requests and faults from a seed.
class RandomScriptGenerator
{
public:
  explicit RandomScriptGenerator(int aSeed)
    : mRandom(static_cast<std::uint64_t>(aSeed))
  {
    mScript =
      ReadScript(std::string(CW_TESTSUITE) + "/basic_path/scenario.yaml");
    mScript.mSteps.clear();
    mScript.mExpectations.clear();
    mScript.mSeed = static_cast<std::uint64_t>(aSeed);
  }

  Script Generate()
  {
    AddStep({}, "start", "[vm-1, vm-2, vm-3]");
    for (mAt = kWarmUpDuration; mAt < kWarmUpDuration + kFaultDuration;
         mAt += std::chrono::milliseconds(RandomInt(20, 120))) {
      AddRequest();
      if (RandomInt(0, 9) == 0) {
        AddFault();
      }
    }
    AddRecovery();
    AddProbes();
    return std::move(mScript);
  }

private:
  int RandomInt(int aMin, int aMax)
  {
    return std::uniform_int_distribution<int>(aMin, aMax)(mRandom);
  }

  std::string RandomVm() { return "vm-" + std::to_string(RandomInt(1, 3)); }

  template<class... Text>
  std::string RandomChoice(Text... aText)
  {
    const std::vector<std::string> texts{ aText... };
    const int last = static_cast<int>(texts.size()) - 1;
    return texts[static_cast<std::size_t>(RandomInt(0, last))];
  }

  void AddStep(Duration aAt,
               const std::string& aAction,
               const std::string& aYaml)
  {
    mScript.mSteps.push_back({ TimePoint(aAt), aAction, YAML::Load(aYaml) });
  }

  void AddRequest()
  {
    const std::string id = std::to_string(mNextId++);
    const std::string common = "{vm: " + RandomVm() + ", key: shop-key, ";
    const int kind = RandomInt(0, 9);
    if (kind < 3) {
      AddStep(mAt, "request", common + "id: get-" + id + ", target: /prices}");
      return;
    }
    if (kind == 3) {
      AddStep(mAt, "ticket", common + "id: t-" + id + ", route: orders}");
      mTicketIds.push_back("t-" + id);
      return;
    }
    if (kind == 4 && !mTicketIds.empty()) {
      const std::string ticket = mTicketIds[static_cast<std::size_t>(
        RandomInt(0, static_cast<int>(mTicketIds.size()) - 1))];
      AddStep(mAt,
              "request",
              common + "id: use-" + id + ", method: POST, target: /orders, " +
                "ticket_of: " + ticket + ", body: order-" + ticket + "}");
      return;
    }
    // A small set of keys, so that most are reused during the faults.
    const std::string key = std::to_string(RandomInt(0, 150));
    AddStep(mAt,
            "request",
            common + "id: post-" + id + ", method: POST, target: /orders, " +
              "idempotency_key: k" + key + ", body: order-" + key + "}");
  }

  /// Adds a random fault and the step that ends it.
  void AddFault()
  {
    const Duration end = mAt + std::chrono::milliseconds(RandomInt(100, 12000));
    switch (RandomInt(0, 8)) {
      case 0: {
        const std::string vm = RandomVm();
        AddStep(mAt, "kill", "[" + vm + "]");
        AddStep(end, "start", "[" + vm + "]");
        return;
      }
      case 1: {
        const std::string vm = RandomVm();
        AddStep(mAt, "pause", "[" + vm + "]");
        AddStep(end, "resume", "[" + vm + "]");
        return;
      }
      case 2:
        AddStep(mAt,
                "cut",
                RandomChoice("[[vm-3], [vm-1, vm-2]]", "[[vm-1], [vm-2]]"));
        AddStep(end, "heal", "true");
        return;
      case 3:
        AddStep(mAt, "store", RandomChoice("down", "loses_answers"));
        AddStep(end, "store", "up");
        return;
      case 4: {
        const std::string vm = RandomVm();
        AddStep(mAt, "store_cut", "[" + vm + "]");
        AddStep(end, "store_join", "[" + vm + "]");
        return;
      }
      case 5:
        AddStep(mAt, "network", "{drop: 0.3, duplicate: 0.3, jitter: 200ms}");
        AddStep(end, "network", "{}");
        return;
      case 6: {
        const std::string name = "name: ord-" + std::to_string(RandomInt(1, 3));
        const std::string mode =
          RandomChoice("hangs", "refuses", "fails", "sheds", "answers");
        AddStep(mAt,
                "backend",
                "{" + name + ", mode: " + mode +
                  ", latency: " + std::to_string(RandomInt(1, 2000)) + "ms}");
        AddStep(end, "backend", "{" + name + ", latency: 5ms}");
        return;
      }
      case 7: {
        const std::string vm = RandomVm();
        AddStep(mAt, "shutdown", vm);
        AddStep(mAt + std::chrono::seconds(15), "start", "[" + vm + "]");
        return;
      }
      default: {
        const std::string vm = RandomVm();
        AddStep(mAt, "kill", "[" + vm + "]");
        AddStep(mAt, "unlist", "[" + vm + "]");
        AddStep(end, "start", "[" + vm + "]");
        return;
      }
    }
  }

  /// Ends all faults that may still be in effect.
  void AddRecovery()
  {
    const Duration at =
      kWarmUpDuration + kFaultDuration + std::chrono::seconds(16);
    AddStep(at, "store", "up");
    AddStep(at, "heal", "true");
    AddStep(at, "network", "{}");
    AddStep(at, "store_join", "[vm-1, vm-2, vm-3]");
    AddStep(at, "resume", "[vm-1, vm-2, vm-3]");
    AddStep(at, "backend", "{name: [ord-1, ord-2, ord-3], latency: 5ms}");
    mAt = at + kRecoveryDuration;
  }

  /// Adds requests to every VM after the recovery time.
  void AddProbes()
  {
    for (const std::string vm : { "vm-1", "vm-2", "vm-3" }) {
      AddStep(mAt,
              "request",
              "{vm: " + vm + ", key: shop-key, id: end-get-" + vm +
                ", target: /prices}");
      AddStep(mAt,
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
    // A new vector, because assignment to a YAML::Node would overwrite the data
    // that it shares with other nodes.
    mScript.mSteps = std::vector<Step>(steps.begin(), steps.end());
  }

  std::mt19937_64 mRandom;
  Script mScript;
  Duration mAt{};
  int mNextId = 0;
  std::vector<std::string> mTicketIds;
};

} // namespace

TEST_CASE("random faults violate no guarantee and the fleet recovers")
{
  for (int seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    DYNAMIC_SECTION("seed " << seed)
    {
      const Script script = RandomScriptGenerator(seed).Generate();
      World world(script);
      world.RunToEnd();
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
