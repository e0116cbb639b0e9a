#include <algorithm>

#include "cranberrywing/settings_access.h"
#include "cranberrywing/settings_commands.h"

namespace cranberrywing::cli {

namespace {

void AddDrain(cxxopts::OptionAdder& aAdd)
{
  aAdd("undo", "Send requests to the backend server again");
  AddSummary(aAdd);
}

void AddShift(cxxopts::OptionAdder& aAdd)
{
  const auto text =
    [&aAdd](const char* aName, const char* aHelp, const char* aValue) {
      aAdd(aName, aHelp, cxxopts::value<std::string>(), aValue);
    };
  text("from", "Source region of the traffic", "REGION");
  text("to", "Destination region of the traffic", "REGION");
  text("target", "Fraction of the traffic to move, from 0 to 1", "PART");
  text("cap", "Maximum change of the moved fraction per minute", "PART");
  text("name",
       "Name of the shift; required if the service has several (default for a "
       "new one: FROM-TO)",
       "NAME");
  aAdd("pause", "Keep the moved fraction at its current value");
  aAdd("resume", "Continue a paused shift");
  aAdd("remove", "Remove the shift; its traffic returns to the source region");
  AddSummary(aAdd);
}

std::string SummaryOrDefault(const Invocation& aInvocation,
                             const std::string& aDefault)
{
  const std::string summary = aInvocation.OptionValue("summary");
  return summary.empty() ? aDefault : summary;
}

Result<std::string> FindBackendPath(const SettingsSnapshot& aSettings,
                                    const BackendId& aBackend)
{
  for (const auto& [id, service] : aSettings.mServices) {
    const bool isMember =
      std::any_of(service.mBackends.begin(),
                  service.mBackends.end(),
                  [&aBackend](const BackendSettings& aCandidate) {
                    return aCandidate.mBackend == aBackend;
                  });
    if (isMember) {
      return "services/" + id.mName + "/backends/" + aBackend.mName;
    }
  }
  return MakeError(ResultCode::UnknownNode,
                   "there is no backend server '" + aBackend.mName + "'");
}

Result<void> RunDrain(Invocation& aInvocation)
{
  const std::string& name = aInvocation.mArguments[0];
  const bool isUndrain = aInvocation.HasOption("undo");
  return ChangeSettings(
    aInvocation,
    SummaryOrDefault(aInvocation,
                     (isUndrain ? "undo drain of " : "drain ") + name),
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      const auto path = FindBackendPath(aSettings, BackendId(name));
      if (!path) {
        return tl::unexpected(path.error());
      }
      return SettingValues{ { *path + "/draining",
                              isUndrain ? "false" : "true" } };
    });
}

/// Returns the shift that matches the name and regions given on the command
/// line; null if there is none.
Result<const ShiftSettings*> FindShift(const Invocation& aInvocation,
                                       const ServiceSettings& aService)
{
  const std::string name = aInvocation.OptionValue("name");
  const std::string from = aInvocation.OptionValue("from");
  const std::string to = aInvocation.OptionValue("to");
  std::vector<const ShiftSettings*> found;
  for (const ShiftSettings& shift : aService.mShifts) {
    const bool isMatch = (name.empty() || shift.mName == name) &&
                         (from.empty() || shift.mFrom.mName == from) &&
                         (to.empty() || shift.mTo.mName == to);
    if (isMatch) {
      found.push_back(&shift);
    }
  }
  if (found.size() > 1) {
    return MakeError(ResultCode::InvalidArgument,
                     "the service has several shifts; name one with --name");
  }
  return found.empty() ? nullptr : found.front();
}

/// Settings of an existing shift that the command line changes.
SettingValues ChangedFields(const Invocation& aInvocation,
                            const std::string& aPath)
{
  SettingValues values;
  const auto add = [&](const char* aOption, const char* aSetting) {
    if (aInvocation.HasOption(aOption)) {
      values.push_back(
        { aPath + "/" + aSetting, aInvocation.OptionValue(aOption) });
    }
  };
  add("target", "target");
  add("cap", "cap_per_minute");
  if (aInvocation.HasOption("pause") || aInvocation.HasOption("resume")) {
    values.push_back(
      { aPath + "/paused", aInvocation.HasOption("pause") ? "true" : "false" });
  }
  return values;
}

Result<SettingValues> MakeNewShift(const Invocation& aInvocation,
                                   const std::string& aPrefix)
{
  const std::string from = aInvocation.OptionValue("from");
  const std::string to = aInvocation.OptionValue("to");
  const std::string target = aInvocation.OptionValue("target");
  if (from.empty() || to.empty() || target.empty()) {
    return MakeError(ResultCode::InvalidArgument,
                     "there is no such shift; a new one needs --from, --to and "
                     "--target");
  }
  std::string name = aInvocation.OptionValue("name");
  if (name.empty()) {
    name = from + "-" + to;
  }
  std::string fields = "{from: " + from + ", to: " + to + ", target: " + target;
  if (aInvocation.HasOption("cap")) {
    fields += ", cap_per_minute: " + aInvocation.OptionValue("cap");
  }
  fields += aInvocation.HasOption("pause") ? ", paused: true}" : "}";
  return SettingValues{ { aPrefix + name, fields } };
}

Result<SettingValues> MakeShiftChange(const Invocation& aInvocation,
                                      const SettingsSnapshot& aSettings)
{
  const std::string& name = aInvocation.mArguments[0];
  const auto service = aSettings.mServices.find(ServiceId(name));
  if (service == aSettings.mServices.end()) {
    return MakeError(ResultCode::UnknownNode,
                     "there is no service '" + name + "'");
  }
  const std::string prefix = "services/" + name + "/shifts/";
  const auto shift = FindShift(aInvocation, service->second);
  if (!shift) {
    return tl::unexpected(shift.error());
  }
  const bool isChange =
    aInvocation.HasOption("remove") || aInvocation.HasOption("resume");
  if (!*shift && isChange) {
    return MakeError(ResultCode::UnknownNode, "there is no such shift");
  }
  if (!*shift) {
    return MakeNewShift(aInvocation, prefix);
  }
  const std::string path = prefix + (*shift)->mName;
  if (aInvocation.HasOption("remove")) {
    return SettingValues{ { path, "" } };
  }
  return ChangedFields(aInvocation, path);
}

Result<void> RunShift(Invocation& aInvocation)
{
  int actions = 0;
  for (const char* action : { "pause", "resume", "remove" }) {
    actions += aInvocation.HasOption(action) ? 1 : 0;
  }
  if (actions > 1) {
    return MakeError(ResultCode::InvalidArgument,
                     "--pause, --resume and --remove are mutually exclusive");
  }
  if (actions == 0 && !aInvocation.HasOption("target") &&
      !aInvocation.HasOption("cap")) {
    return MakeError(ResultCode::InvalidArgument,
                     "'shift' needs --target, --cap, --pause, --resume or "
                     "--remove");
  }
  return ChangeSettings(
    aInvocation,
    SummaryOrDefault(aInvocation, "shift of " + aInvocation.mArguments[0]),
    [&](const SettingsSnapshot& aSettings) {
      return MakeShiftChange(aInvocation, aSettings);
    });
}

} // namespace

const CommandList& TrafficCommands()
{
  static const CommandList sCommands{
    { .mName = "drain",
      .mArguments = "BACKEND",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Stops sending new requests to a backend server.",
      .mAddOptions = &AddDrain,
      .mRun = &RunDrain },
    { .mName = "shift",
      .mArguments = "SERVICE",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Moves part of a service's traffic between regions.\nAdds or "
               "changes a shift, pauses, resumes or removes it. 'status' "
               "shows its progress.",
      .mAddOptions = &AddShift,
      .mRun = &RunShift },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
