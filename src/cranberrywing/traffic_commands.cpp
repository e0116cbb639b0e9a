#include <algorithm>

#include "cranberrywing/settings_access.h"
#include "cranberrywing/settings_commands.h"

namespace cranberrywing::cli {

namespace {

void AddDrain(cxxopts::OptionAdder& aAdd)
{
  aAdd("undo", "Give the backend server work again");
  AddSummary(aAdd);
}

void AddShift(cxxopts::OptionAdder& aAdd)
{
  const auto text =
    [&aAdd](const char* aName, const char* aHelp, const char* aValue) {
      aAdd(aName, aHelp, cxxopts::value<std::string>(), aValue);
    };
  text("from", "Region whose traffic moves", "REGION");
  text("to", "Region that gets it", "REGION");
  text("target", "Part that is to be moved, from 0 to 1", "PART");
  text("cap", "Greatest change of the moved part per minute", "PART");
  text("name",
       "Name of the shift, needed if the service has several (default for a "
       "new one: FROM-TO)",
       "NAME");
  aAdd("pause", "Keep the moved part as it is");
  aAdd("resume", "Continue a paused shift");
  aAdd("remove", "Remove the shift; its traffic goes back");
  AddSummary(aAdd);
}

std::string SummaryOr(const Invocation& aInvocation, const std::string& aUsual)
{
  const std::string summary = aInvocation.Text("summary");
  return summary.empty() ? aUsual : summary;
}

Result<std::string> FindBackendPath(const SettingsSnapshot& aSettings,
                                    const BackendId& aBackend)
{
  for (const auto& [id, service] : aSettings.mServices) {
    const bool isHere = std::any_of(service.mBackends.begin(),
                                    service.mBackends.end(),
                                    [&aBackend](const BackendSettings& aOne) {
                                      return aOne.mBackend == aBackend;
                                    });
    if (isHere) {
      return "services/" + id.mName + "/backends/" + aBackend.mName;
    }
  }
  return MakeError(ResultCode::UnknownNode,
                   "there is no backend server '" + aBackend.mName + "'");
}

Result<void> RunDrain(Invocation& aInvocation)
{
  const std::string& name = aInvocation.mWords[0];
  const bool isUndo = aInvocation.Has("undo");
  return ChangeSettings(
    aInvocation,
    SummaryOr(aInvocation, (isUndo ? "undo drain of " : "drain ") + name),
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      const auto path = FindBackendPath(aSettings, BackendId(name));
      if (!path) {
        return tl::unexpected(path.error());
      }
      return SettingValues{ { *path + "/draining",
                              isUndo ? "false" : "true" } };
    });
}

/// The shift that is meant: by name, by its regions, or the only one.
Result<const ShiftSettings*> ChooseShift(const Invocation& aInvocation,
                                         const ServiceSettings& aService)
{
  const std::string name = aInvocation.Text("name");
  const std::string from = aInvocation.Text("from");
  const std::string to = aInvocation.Text("to");
  std::vector<const ShiftSettings*> found;
  for (const ShiftSettings& shift : aService.mShifts) {
    const bool isMeant = (name.empty() || shift.mName == name) &&
                         (from.empty() || shift.mFrom.mName == from) &&
                         (to.empty() || shift.mTo.mName == to);
    if (isMeant) {
      found.push_back(&shift);
    }
  }
  if (found.size() > 1) {
    return MakeError(ResultCode::InvalidArgument,
                     "the service has several shifts; name one with --name");
  }
  return found.empty() ? nullptr : found.front();
}

/// Fields of a shift that the command line gives.
SettingValues GivenFields(const Invocation& aInvocation,
                          const std::string& aPath)
{
  SettingValues values;
  const auto add = [&](const char* aOption, const char* aSetting) {
    if (aInvocation.Has(aOption)) {
      values.push_back({ aPath + "/" + aSetting, aInvocation.Text(aOption) });
    }
  };
  add("target", "target");
  add("cap", "cap_per_minute");
  if (aInvocation.Has("pause") || aInvocation.Has("resume")) {
    values.push_back(
      { aPath + "/paused", aInvocation.Has("pause") ? "true" : "false" });
  }
  return values;
}

Result<SettingValues> MakeNewShift(const Invocation& aInvocation,
                                   const std::string& aPrefix)
{
  const std::string from = aInvocation.Text("from");
  const std::string to = aInvocation.Text("to");
  const std::string target = aInvocation.Text("target");
  if (from.empty() || to.empty() || target.empty()) {
    return MakeError(ResultCode::InvalidArgument,
                     "there is no such shift; a new one needs --from, --to and "
                     "--target");
  }
  std::string name = aInvocation.Text("name");
  if (name.empty()) {
    name = from + "-" + to;
  }
  std::string fields = "{from: " + from + ", to: " + to + ", target: " + target;
  if (aInvocation.Has("cap")) {
    fields += ", cap_per_minute: " + aInvocation.Text("cap");
  }
  fields += aInvocation.Has("pause") ? ", paused: true}" : "}";
  return SettingValues{ { aPrefix + name, fields } };
}

Result<SettingValues> MakeShift(const Invocation& aInvocation,
                                const SettingsSnapshot& aSettings)
{
  const std::string& name = aInvocation.mWords[0];
  const auto service = aSettings.mServices.find(ServiceId(name));
  if (service == aSettings.mServices.end()) {
    return MakeError(ResultCode::UnknownNode,
                     "there is no service '" + name + "'");
  }
  const std::string prefix = "services/" + name + "/shifts/";
  const auto shift = ChooseShift(aInvocation, service->second);
  if (!shift) {
    return tl::unexpected(shift.error());
  }
  const bool isChange = aInvocation.Has("remove") || aInvocation.Has("resume");
  if (!*shift && isChange) {
    return MakeError(ResultCode::UnknownNode, "there is no such shift");
  }
  if (!*shift) {
    return MakeNewShift(aInvocation, prefix);
  }
  const std::string path = prefix + (*shift)->mName;
  if (aInvocation.Has("remove")) {
    return SettingValues{ { path, "" } };
  }
  return GivenFields(aInvocation, path);
}

Result<void> RunShift(Invocation& aInvocation)
{
  int actions = 0;
  for (const char* action : { "pause", "resume", "remove" }) {
    actions += aInvocation.Has(action) ? 1 : 0;
  }
  if (actions > 1) {
    return MakeError(ResultCode::InvalidArgument,
                     "--pause, --resume and --remove exclude each other");
  }
  if (actions == 0 && !aInvocation.Has("target") && !aInvocation.Has("cap")) {
    return MakeError(ResultCode::InvalidArgument,
                     "'shift' needs --target, --cap, --pause, --resume or "
                     "--remove");
  }
  return ChangeSettings(
    aInvocation,
    SummaryOr(aInvocation, "shift of " + aInvocation.mWords[0]),
    [&](const SettingsSnapshot& aSettings) {
      return MakeShift(aInvocation, aSettings);
    });
}

} // namespace

const CommandList& TrafficCommands()
{
  static const CommandList sCommands{
    { .mName = "drain",
      .mWords = "BACKEND",
      .mLeastWords = 1,
      .mMostWords = 1,
      .mHelp = "Gives a backend server no new work.",
      .mAddOptions = &AddDrain,
      .mRun = &RunDrain },
    { .mName = "shift",
      .mWords = "SERVICE",
      .mLeastWords = 1,
      .mMostWords = 1,
      .mHelp = "Moves part of a service's traffic between regions.\nAdds or "
               "changes a shift, pauses, resumes or removes it. 'status' "
               "shows how far it has come.",
      .mAddOptions = &AddShift,
      .mRun = &RunShift },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
