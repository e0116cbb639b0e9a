// Checks of scenario expectations, and the invariants of all scenarios.
#include <algorithm>
#include <stdexcept>

#include "world.h"

namespace cranberrywing::scenario {

namespace {

std::string GetString(const YAML::Node& aNode, const std::string& aName)
{
  return aNode[aName] ? aNode[aName].as<std::string>() : "";
}

std::string Describe(const Outcome& aOutcome)
{
  if (aOutcome.mIsAnswered) {
    return aOutcome.mIsReplayed ? "replayed" : "answered";
  }
  return "refused with " + std::string(ToString(aOutcome.mCode)) + " (" +
         std::string(ToString(aOutcome.mExecution)) + "): " + aOutcome.mBody;
}

/// Compares a count with the bounds "exactly", "at_most" and "at_least".
/// Returns an empty string if it is within them, else a message.
std::string CheckCount(const YAML::Node& aArguments, std::size_t aCount)
{
  const auto value = [&](const char* aName) {
    return aArguments[aName].as<std::size_t>();
  };
  const bool isWrong = (aArguments["exactly"] && aCount != value("exactly")) ||
                       (aArguments["at_most"] && aCount > value("at_most")) ||
                       (aArguments["at_least"] && aCount < value("at_least"));
  return isWrong ? "actual count is " + std::to_string(aCount) : "";
}

} // namespace

std::string World::Check(const Expectation& aExpectation) const
{
  const std::string& kind = aExpectation.mKind;
  const YAML::Node& arguments = aExpectation.mArguments;
  if (kind == "outcome") {
    return CheckOutcome(arguments);
  }
  if (kind == "outcomes") {
    return CheckOutcomeCount(arguments);
  }
  if (kind == "runs") {
    return CheckRuns(arguments);
  }
  if (kind == "backend_runs") {
    return CheckBackendRuns(arguments);
  }
  if (kind == "revision") {
    return CheckRevision(arguments);
  }
  if (kind == "timeline") {
    return CheckTimeline(arguments);
  }
  if (kind == "exited") {
    return CheckExited(arguments);
  }
  if (kind == "edit") {
    const auto it = mEdits.find(GetString(arguments, "id"));
    if (it == mEdits.end()) {
      return "the edit was not answered";
    }
    const std::string code(ToString(it->second.mCode));
    return code == GetString(arguments, "code") ? "" : "answered " + code;
  }
  throw std::runtime_error("unknown kind of expectation \"" + kind + "\"");
}

std::string World::CheckOutcome(const YAML::Node& aArguments) const
{
  const auto it = mOutcomes.find(GetString(aArguments, "id"));
  if (it == mOutcomes.end()) {
    return "the request was neither answered nor refused";
  }
  const Outcome& outcome = it->second;
  const std::string expected = GetString(aArguments, "is");
  const std::string actual = outcome.mIsAnswered
                               ? outcome.mIsReplayed ? "replayed" : "answered"
                               : "refused";
  const bool isWrong =
    (!expected.empty() && expected != actual) ||
    (aArguments["code"] &&
     GetString(aArguments, "code") != ToString(outcome.mCode)) ||
    (aArguments["execution"] &&
     GetString(aArguments, "execution") != ToString(outcome.mExecution));
  const bool isLate =
    aArguments["before"] &&
    outcome.mAt > TimePoint(ReadDuration(aArguments["before"]));
  return isWrong || isLate ? Describe(outcome) : "";
}

std::string World::CheckOutcomeCount(const YAML::Node& aArguments) const
{
  const std::string prefix = GetString(aArguments, "prefix");
  const std::string expected = GetString(aArguments, "is");
  std::size_t count = 0;
  std::string other;
  for (const auto& [id, outcome] : mOutcomes) {
    if (!id.starts_with(prefix)) {
      continue;
    }
    const bool matches =
      expected == "answered" ? outcome.mIsAnswered : !outcome.mIsAnswered;
    count += matches ? 1 : 0;
    if (!matches && other.empty()) {
      other = "; " + id + " was " + Describe(outcome);
    }
  }
  const std::string wrong = CheckCount(aArguments, count);
  return wrong.empty() ? "" : wrong + other;
}

std::size_t World::CountRuns(const std::string& aLabel) const
{
  return static_cast<std::size_t>(
    std::count_if(mRuns.begin(), mRuns.end(), [&](const auto& aRun) {
      return aRun.mLabel == aLabel;
    }));
}

std::string World::CheckRuns(const YAML::Node& aArguments) const
{
  return CheckCount(aArguments, CountRuns(GetString(aArguments, "body")));
}

std::string World::CheckBackendRuns(const YAML::Node& aArguments) const
{
  const std::string name = GetString(aArguments, "backend");
  const TimePoint from = aArguments["from"]
                           ? TimePoint(ReadDuration(aArguments["from"]))
                           : TimePoint{};
  const TimePoint to = aArguments["to"]
                         ? TimePoint(ReadDuration(aArguments["to"]))
                         : TimePoint::max();
  const auto count =
    std::count_if(mRuns.begin(), mRuns.end(), [&](const auto& aRun) {
      return aRun.mBackend == name && aRun.mAt >= from && aRun.mAt < to;
    });
  return CheckCount(aArguments, static_cast<std::size_t>(count));
}

std::string World::CheckRevision(const YAML::Node& aArguments) const
{
  const Vm& vm = mVms.at(GetString(aArguments, "vm"));
  if (!vm.mReducer) {
    return "no process runs on the VM";
  }
  const auto revision =
    vm.mReducer->GetConfiguration().Version().mRevision.mNumber;
  return revision == aArguments["is"].as<std::uint64_t>()
           ? ""
           : "revision is " + std::to_string(revision);
}

std::string World::CheckTimeline(const YAML::Node& aArguments) const
{
  const auto it = mTimeline.find(GetString(aArguments, "vm"));
  const std::string text = GetString(aArguments, "has");
  const bool isFound =
    it != mTimeline.end() &&
    std::any_of(
      it->second.begin(), it->second.end(), [&](const std::string& aLine) {
        return aLine.find(text) != std::string::npos;
      });
  return isFound ? "" : "no timeline entry contains \"" + text + "\"";
}

std::string World::CheckExited(const YAML::Node& aArguments) const
{
  return mVms.at(aArguments.as<std::string>()).mHasExited
           ? ""
           : "the process has not exited";
}

bool World::HasRunNonIdempotent(const std::string& aLabel, TimePoint aAt) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [&](const auto& aRun) {
    return aRun.mLabel == aLabel && !aRun.mIsIdempotent && aRun.mAt <= aAt;
  });
}

std::vector<std::string> World::Violations() const
{
  std::vector<std::string> violations;
  for (const std::string& body : mRepeatedAttempts) {
    violations.push_back("sent twice with one identifier: " + body);
  }
  std::set<std::string> executed;
  for (const auto& run : mRuns) {
    const bool isSecond =
      !run.mIsIdempotent && !executed.insert(run.mLabel).second;
    if (isSecond) {
      violations.push_back("non-idempotent request executed more than once: " +
                           run.mLabel);
    }
  }
  for (const auto& [id, outcome] : mOutcomes) {
    // Requests for tickets have an outcome but no body.
    const auto named = mRequestBodies.find(id);
    if (named == mRequestBodies.end()) {
      continue;
    }
    const std::string& body = named->second;
    const bool saysNotRun =
      !outcome.mIsAnswered && outcome.mExecution == Execution::NotRun;
    if (saysNotRun && HasRunNonIdempotent(body, outcome.mAt)) {
      violations.push_back("refused as not run, although executed: " + id +
                           ": " + Describe(outcome));
    }
    if (outcome.mIsAnswered && outcome.mBody != "answer to " + body) {
      violations.push_back(
        id + " received the answer to another request: " + outcome.mBody);
    }
  }
  for (const auto& [id, body] : mRequestBodies) {
    if (!mOutcomes.contains(id)) {
      violations.push_back(id + " received neither an answer nor a refusal");
    }
  }
  return violations;
}

} // namespace cranberrywing::scenario
