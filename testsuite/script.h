/// \file
/// Reads scenario files: steps at virtual times and the expected results.
/// testsuite/README.md describes the format.
#pragma once

#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing::scenario {

/// One action of a scenario.
struct Step
{
  TimePoint mAt{};
  /// Name of the action, such as "request" or "pause".
  std::string mAction;
  YAML::Node mArguments;
};

/// A check that is made when the scenario has ended.
struct Expectation
{
  /// Name of the check, such as "outcome" or "runs".
  std::string mKind;
  YAML::Node mArguments;
};

/// A parsed scenario.
struct Script
{
  std::string mDescription;
  std::uint64_t mSeed = 1;
  /// VMs that the settings name.
  std::vector<VmSettings> mVms;
  /// Settings document (YAML) with which every VM starts.
  std::string mSettings;
  /// In order of time.
  std::vector<Step> mSteps;
  std::vector<Expectation> mExpectations;
  /// Virtual time at which the run ends and the expectations are checked.
  TimePoint mEnd{};
};

/// Reads a scenario file. Throws std::runtime_error with the path and the
/// reason if it is invalid.
Script ReadScript(const std::string& aPath);

/// Parses a scalar such as "250ms"; throws std::runtime_error if it is invalid.
Duration ReadDuration(const YAML::Node& aNode);

} // namespace cranberrywing::scenario
