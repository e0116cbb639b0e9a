#include "cranberrywing/settings_commands.h"
#include "cranberrywing/kept_file.h"
#include "cranberrywing/settings_access.h"
#include "netutil/program.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

constexpr std::string_view kNewest = "newest";

void AddSet(cxxopts::OptionAdder& aAdd)
{
  AddSummary(aAdd);
  aAdd("remove", "Remove the setting, so that it is inherited again");
}

void AddApply(cxxopts::OptionAdder& aAdd)
{
  AddSummary(aAdd);
  aAdd("base",
       "Revision that the file was made from, or 'newest' to replace "
       "the current settings unconditionally",
       cxxopts::value<std::string>(),
       "REVISION");
}

void AddEdit(cxxopts::OptionAdder& aAdd)
{
  aAdd("out", "New file", cxxopts::value<std::string>(), "FILE");
}

Result<std::string> ReadPath(const std::string& aDocument,
                             const std::string& aPath)
{
  auto value = ReadSetting(aDocument, aPath);
  return value ? RedactSecret(aPath, *value) : std::move(value);
}

Result<void> RunGet(Invocation& aInvocation)
{
  const auto document = ReadSettings(aInvocation.mClient);
  if (!document) {
    return tl::unexpected(document.error());
  }
  const std::string path =
    aInvocation.mArguments.empty() ? "" : aInvocation.mArguments[0];
  Result<std::string> text = document->mText;
  if (!path.empty()) {
    text = ReadPath(document->mText, path);
  }
  if (!text) {
    return tl::unexpected(text.error());
  }
  if (aInvocation.mIsJson) {
    json::object body;
    body["revision"] = document->mRevision.mNumber;
    body["path"] = path;
    body["value"] = *text;
    PrintJson(aInvocation.Out(), body);
    return {};
  }
  aInvocation.Out() << *text;
  if (!text->empty() && text->back() != '\n') {
    aInvocation.Out() << '\n';
  }
  return {};
}

Result<void> RunSet(Invocation& aInvocation)
{
  const bool isRemoval = aInvocation.HasOption("remove");
  if (isRemoval == (aInvocation.mArguments.size() == 2)) {
    return MakeError(ResultCode::InvalidArgument,
                     "'settings set' needs either a VALUE or --remove");
  }
  const std::string path = aInvocation.mArguments[0];
  const std::string value = isRemoval ? "" : aInvocation.mArguments[1];
  if (!isRemoval && value.empty()) {
    return MakeError(
      ResultCode::InvalidArgument,
      "VALUE is empty; use '\"\"' for an empty string, or --remove "
      "to remove the setting");
  }
  std::string summary = aInvocation.OptionValue("summary");
  if (summary.empty()) {
    summary = (isRemoval ? "remove " : "set ") + path;
  }
  auto base = ReadSettings(aInvocation.mClient);
  if (!base) {
    return tl::unexpected(base.error());
  }
  auto document = EditSetting(base->mText, path, value);
  if (!document) {
    return tl::unexpected(document.error());
  }
  const auto outcome = WriteSettings(aInvocation,
                                     { .mBase = std::move(*base),
                                       .mDocument = std::move(*document),
                                       .mSummary = std::move(summary),
                                       .mFile = {} });
  if (!outcome) {
    return tl::unexpected(outcome.error());
  }
  ShowOutcome(aInvocation, *outcome);
  return {};
}

Result<void> RunEdit(Invocation& aInvocation)
{
  const std::string path = aInvocation.OptionValue("out");
  if (path.empty()) {
    return MakeError(ResultCode::InvalidArgument,
                     "'settings edit' needs --out FILE; change the file, then "
                     "run 'settings apply FILE'");
  }
  const auto document = ReadSettings(aInvocation.mClient);
  if (!document) {
    return tl::unexpected(document.error());
  }
  const auto written =
    WriteNewFile(path, AddRevisionMark(document->mText, document->mRevision));
  if (!written) {
    return written;
  }
  if (aInvocation.mIsJson) {
    json::object body;
    body["revision"] = document->mRevision.mNumber;
    body["file"] = path;
    PrintJson(aInvocation.Out(), body);
    return {};
  }
  aInvocation.Out() << "revision " << document->mRevision.mNumber << " is in "
                    << path
                    << "; change it, then run 'cranberrywing settings apply "
                    << path << "'\n";
  return {};
}

/// Returns the document that the file was derived from.
Result<SettingsDocument> FindBase(const Invocation& aInvocation,
                                  const MarkedDocument& aMarked)
{
  const std::string text = aInvocation.OptionValue("base");
  auto newest = ReadSettings(aInvocation.mClient);
  if (!newest || text == kNewest) {
    return newest;
  }
  std::optional<Revision> wanted = aMarked.mRevision;
  if (!text.empty()) {
    const auto parsed = ParseRevision(text);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    wanted = *parsed;
  }
  if (!wanted) {
    return MakeError(ResultCode::InvalidArgument,
                     "the file does not state the revision it was made from; "
                     "give --base REVISION or --base newest");
  }
  if (*wanted == newest->mRevision) {
    return newest;
  }
  auto base = ReadRevision(aInvocation.mClient, *wanted);
  // If the older document is unavailable, no changes can be shown, but the
  // daemon still detects the conflict.
  return base ? std::move(base) : SettingsDocument{ {}, *wanted };
}

Result<void> RunApply(Invocation& aInvocation)
{
  const std::string& path = aInvocation.mArguments[0];
  const auto text = netutil::ReadFile(path);
  if (!text) {
    return tl::unexpected(text.error());
  }
  const MarkedDocument marked = ParseRevisionMark(*text);
  auto base = FindBase(aInvocation, marked);
  if (!base) {
    return tl::unexpected(base.error());
  }
  const std::string summary = aInvocation.OptionValue("summary");
  const auto outcome =
    WriteSettings(aInvocation,
                  { .mBase = std::move(*base),
                    .mDocument = marked.mDocument,
                    .mSummary = summary.empty() ? "apply " + path : summary,
                    .mFile = path });
  if (!outcome) {
    return tl::unexpected(outcome.error());
  }
  ShowOutcome(aInvocation, *outcome);
  return {};
}

} // namespace

void AddSummary(cxxopts::OptionAdder& aAdd)
{
  aAdd("summary",
       "Reason for the change, recorded in the history",
       cxxopts::value<std::string>(),
       "TEXT");
}

const CommandList& SettingsCommands()
{
  static const CommandList sCommands{
    { .mName = "settings get",
      .mArguments = "[PATH]",
      .mMaxArguments = 1,
      .mHelp = "Shows the current settings, or one setting.\nSecrets are "
               "shown as placeholders.",
      .mRun = &RunGet },
    { .mName = "settings set",
      .mArguments = "PATH [VALUE]",
      .mMinArguments = 1,
      .mMaxArguments = 2,
      .mHelp = "Sets or removes one setting.\nVALUE is YAML. A PATH such as "
               "services/ordering/slow_start is described in "
               "docs/settings.md.",
      .mAddOptions = &AddSet,
      .mRun = &RunSet },
    { .mName = "settings edit",
      .mArguments = "--out FILE",
      .mHelp = "Writes the current settings to a file for editing.\nThe tool "
               "starts no editor: run 'settings edit --out FILE', change the "
               "file with an editor, then run 'settings apply FILE'. The "
               "first line of the file states the revision that was read.",
      .mAddOptions = &AddEdit,
      .mRun = &RunEdit },
    { .mName = "settings apply",
      .mArguments = "FILE",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Applies the settings in a file.\nThe write is rejected if "
               "another change was accepted since the file was made; the "
               "other change is shown and the file is left unchanged.",
      .mAddOptions = &AddApply,
      .mRun = &RunApply },
    { .mName = "settings diff",
      .mArguments = "[FILE]",
      .mMaxArguments = 1,
      .mHelp = "Compares a file with the current settings, or two revisions.",
      .mAddOptions = &AddDiff,
      .mRun = &RunDiff },
    { .mName = "settings history",
      .mHelp = "Lists the most recent accepted changes.",
      .mRun = &RunHistory },
    { .mName = "settings revert",
      .mArguments = "REVISION",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Restores the document of an earlier revision as a new "
               "revision.\nSecrets keep their current values.",
      .mAddOptions = &AddSummary,
      .mRun = &RunRevert },
    { .mName = "settings check",
      .mArguments = "FILE",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Validates the settings in a file without applying them.\nNeeds "
               "no daemon unless --online is given.",
      .mIsOffline = true,
      .mAddOptions = &AddCheck,
      .mRun = &RunCheck },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
