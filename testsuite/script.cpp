#include "script.h"

#include <fstream>
#include <list>
#include <sstream>
#include <stdexcept>

#include "cranberrywing/settings.h"

namespace cranberrywing::scenario {

namespace {

/// Adds the steps of a repeated action: `count` steps at intervals of `every`,
/// with "{n}" in their arguments replaced by the step's index from 0.
void AddRepeated(const Step& aStep, std::list<Step>& aOut)
{
  const int count = aStep.mArguments["count"].as<int>();
  const Duration period = ReadDuration(aStep.mArguments["every"]);
  const std::string text = YAML::Dump(aStep.mArguments);
  for (int n = 0; n < count; ++n) {
    std::string numbered = text;
    const std::string number = std::to_string(n);
    for (auto it = numbered.find("{n}"); it != std::string::npos;
         it = numbered.find("{n}", it)) {
      numbered.replace(it, 3, number);
    }
    aOut.push_back(
      { aStep.mAt + n * period, aStep.mAction, YAML::Load(numbered) });
  }
}

/// Adds the actions of one entry of `steps`, which share its time.
void AddStep(const YAML::Node& aNode, std::list<Step>& aOut)
{
  const TimePoint at{ ReadDuration(aNode["at"]) };
  for (const auto& item : aNode) {
    const std::string action = item.first.as<std::string>();
    if (action == "at") {
      continue;
    }
    const Step step{ at, action, item.second };
    const bool isRepeated = item.second.IsMap() && item.second["count"];
    if (isRepeated) {
      AddRepeated(step, aOut);
    } else {
      aOut.push_back(step);
    }
  }
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot open " + aPath);
  }
  std::ostringstream buf;
  buf << file.rdbuf();
  return std::move(buf).str();
}

} // namespace

Duration ReadDuration(const YAML::Node& aNode)
{
  const auto duration = ParseDuration(aNode.as<std::string>());
  if (!duration) {
    throw std::runtime_error(duration.error().mMessage);
  }
  return *duration;
}

Script ReadScript(const std::string& aPath)
{
  try {
    const YAML::Node root = YAML::LoadFile(aPath);
    Script script;
    script.mDescription = root["description"].as<std::string>();
    script.mSeed = root["seed"].as<std::uint64_t>();
    // Settings are shared by the scenarios and lie in testsuite/settings.
    script.mSettings = ReadFile(std::string(CW_TESTSUITE) + "/settings/" +
                                root["settings"].as<std::string>());
    const auto settings = ParseSettings(script.mSettings, Revision{});
    if (!settings) {
      throw std::runtime_error(settings.error().mMessage);
    }
    script.mVms = (*settings)->mVms;
    // Sorted in a list, which moves no elements: assignment to a YAML::Node
    // would overwrite the data that it shares with other nodes.
    std::list<Step> steps;
    for (const YAML::Node& step : root["steps"]) {
      AddStep(step, steps);
    }
    steps.sort([](const Step& aLeft, const Step& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
    script.mSteps.assign(steps.begin(), steps.end());
    for (const YAML::Node& expectation : root["expect"]) {
      const auto item = expectation.begin();
      script.mExpectations.push_back(
        { item->first.as<std::string>(), item->second });
    }
    script.mEnd = TimePoint(ReadDuration(root["end"]));
    return script;
  } catch (const std::exception& e) {
    throw std::runtime_error(aPath + ": " + e.what());
  }
}

} // namespace cranberrywing::scenario
