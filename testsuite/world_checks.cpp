// Expectations of scenarios, and what must hold in all of them.
#include <algorithm>
#include <stdexcept>

#include "world.h"

namespace cranberrywing::scenario {

namespace {

std::string TextOf(const YAML::Node& aNode, const std::string& aName)
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

/// Compares a count with "exactly", "at_most" and "at_least"; empty if it
/// fits.
std::string CheckCount(const YAML::Node& aArguments, std::size_t aCount)
{
  const auto value = [&](const char* aName) {
    return aArguments[aName].as<std::size_t>();
  };
  const bool isWrong = (aArguments["exactly"] && aCount != value("exactly")) ||
                       (aArguments["at_most"] && aCount > value("at_most")) ||
                       (aArguments["at_least"] && aCount < value("at_least"));
  return isWrong ? "counted " + std::to_string(aCount) : "";
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
    const auto it = mEdits.find(TextOf(arguments, "id"));
    if (it == mEdits.end()) {
      return "the edit was not answered";
    }
    const std::string code(ToString(it->second.mCode));
    return code == TextOf(arguments, "code") ? "" : "answered " + code;
  }
  throw std::runtime_error("unknown expectation \"" + kind + "\"");
}

std::string World::CheckOutcome(const YAML::Node& aArguments) const
{
  const auto it = mOutcomes.find(TextOf(aArguments, "id"));
  if (it == mOutcomes.end()) {
    return "the request has no outcome";
  }
  const Outcome& outcome = it->second;
  const std::string wanted = TextOf(aArguments, "is");
  const std::string seen = outcome.mIsAnswered
                             ? outcome.mIsReplayed ? "replayed" : "answered"
                             : "refused";
  const bool isWrong =
    (!wanted.empty() && wanted != seen) ||
    (aArguments["code"] &&
     TextOf(aArguments, "code") != ToString(outcome.mCode)) ||
    (aArguments["execution"] &&
     TextOf(aArguments, "execution") != ToString(outcome.mExecution));
  const bool isLate =
    aArguments["before"] &&
    outcome.mAt > TimePoint(ReadDuration(aArguments["before"]));
  return isWrong || isLate ? Describe(outcome) : "";
}

std::string World::CheckOutcomeCount(const YAML::Node& aArguments) const
{
  const std::string prefix = TextOf(aArguments, "prefix");
  const std::string wanted = TextOf(aArguments, "is");
  std::size_t count = 0;
  std::string other;
  for (const auto& [id, outcome] : mOutcomes) {
    if (!id.starts_with(prefix)) {
      continue;
    }
    const bool matches =
      wanted == "answered" ? outcome.mIsAnswered : !outcome.mIsAnswered;
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
  return CheckCount(aArguments, CountRuns(TextOf(aArguments, "body")));
}

std::string World::CheckBackendRuns(const YAML::Node& aArguments) const
{
  const std::string name = TextOf(aArguments, "backend");
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
  const Vm& vm = mVms.at(TextOf(aArguments, "vm"));
  if (!vm.mReducer) {
    return "the VM does not run";
  }
  const auto revision =
    vm.mReducer->GetConfiguration().Version().mRevision.mNumber;
  return revision == aArguments["is"].as<std::uint64_t>()
           ? ""
           : "revision is " + std::to_string(revision);
}

std::string World::CheckTimeline(const YAML::Node& aArguments) const
{
  const auto it = mTimeline.find(TextOf(aArguments, "vm"));
  const std::string text = TextOf(aArguments, "has");
  const bool isThere =
    it != mTimeline.end() &&
    std::any_of(
      it->second.begin(), it->second.end(), [&](const std::string& aLine) {
        return aLine.find(text) != std::string::npos;
      });
  return isThere ? "" : "no entry has \"" + text + "\"";
}

std::string World::CheckExited(const YAML::Node& aArguments) const
{
  return mVms.at(aArguments.as<std::string>()).mHasExited
           ? ""
           : "the process has not exited";
}

bool World::HasRunBefore(const std::string& aLabel, TimePoint aAt) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [&](const auto& aRun) {
    return aRun.mLabel == aLabel && !aRun.mIsIdempotent && aRun.mAt <= aAt;
  });
}

std::vector<std::string> World::Violations() const
{
  std::vector<std::string> violations;
  std::set<std::string> executed;
  for (const auto& run : mRuns) {
    const bool isSecond =
      !run.mIsIdempotent && !executed.insert(run.mLabel).second;
    if (isSecond) {
      violations.push_back("executed twice: " + run.mLabel);
    }
  }
  for (const auto& [id, outcome] : mOutcomes) {
    // Ticket requests have an outcome and no body.
    const auto named = mBodyOf.find(id);
    if (named == mBodyOf.end()) {
      continue;
    }
    const std::string& body = named->second;
    const bool saysNotRun =
      !outcome.mIsAnswered && outcome.mExecution == Execution::NotRun;
    if (saysNotRun && HasRunBefore(body, outcome.mAt)) {
      violations.push_back("\"not run\" was said of " + id +
                           ", which ran: " + Describe(outcome));
    }
    if (outcome.mIsAnswered && outcome.mBody != "answer to " + body) {
      violations.push_back(id +
                           " got another request's answer: " + outcome.mBody);
    }
  }
  for (const auto& [id, body] : mBodyOf) {
    if (!mOutcomes.contains(id)) {
      violations.push_back(id + " got no outcome");
    }
  }
  return violations;
}

} // namespace cranberrywing::scenario
