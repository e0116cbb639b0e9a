/// \file
/// Scenario files: events at virtual times and what must come of them.
/// testsuite/README.md describes the format.
#pragma once

#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing::scenario {

struct Step
{
  TimePoint mAt{};
  /// Name of the action, such as "request" or "pause".
  std::string mAction;
  YAML::Node mArguments;
};

struct Expectation
{
  std::string mKind;
  YAML::Node mArguments;
};

struct Script
{
  std::string mDescription;
  std::uint64_t mSeed = 1;
  /// VMs of the settings.
  std::vector<VmSettings> mVms;
  /// Settings document with which every VM starts.
  std::string mSettings;
  std::vector<Step> mSteps;
  std::vector<Expectation> mExpectations;
  TimePoint mEnd{};
};

/// Reads a scenario. Throws std::runtime_error with file and reason, which
/// fails the test that runs it.
Script ReadScript(const std::string& aPath);

/// Duration of a scalar such as "250ms"; throws std::runtime_error.
Duration ReadDuration(const YAML::Node& aNode);

} // namespace cranberrywing::scenario
