// Runs every testsuite/<scenario>/scenario.yaml. The description in each file
// says which failure the scenario guards against.
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>

#include "world.h"

using namespace cranberrywing::scenario;

namespace {

std::vector<std::string> FindScenarios()
{
  std::vector<std::string> paths;
  for (const auto& entry : std::filesystem::directory_iterator(CW_TESTSUITE)) {
    const auto path = entry.path() / "scenario.yaml";
    if (std::filesystem::exists(path)) {
      paths.push_back(path.string());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

} // namespace

TEST_CASE("scenarios end as expected and violate no guarantee")
{
  const auto paths = FindScenarios();
  REQUIRE_FALSE(paths.empty());
  for (const std::string& path : paths) {
    DYNAMIC_SECTION(path)
    {
      const Script script = ReadScript(path);
      World world(script);
      world.RunToEnd();
      for (const std::string& violation : world.Violations()) {
        FAIL_CHECK(violation);
      }
      for (const Expectation& expectation : script.mExpectations) {
        INFO(expectation.mKind << " " << YAML::Dump(expectation.mArguments));
        CHECK(world.Check(expectation) == "");
      }
    }
  }
}
