#include <charconv>

#include "cranberrywing/kept_file.h"
#include "cranberrywing/settings_access.h"
#include "cranberrywing/settings_commands.h"
#include "netutil/json.h"
#include "netutil/program.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

void ShowChanges(Invocation& aInvocation,
                 const std::vector<SettingsChange>& aChanges)
{
  if (aInvocation.mIsJson) {
    json::object body;
    body["changes"] = EncodeChanges(aChanges);
    PrintJson(aInvocation.Out(), body);
    return;
  }
  if (aChanges.empty()) {
    aInvocation.Out() << "no setting differs\n";
  }
  PrintChanges(aInvocation.Out(), aChanges);
}

Result<std::string> ReadRevisionText(Invocation& aInvocation,
                                     const std::string& aOption)
{
  const auto revision = ParseRevision(aInvocation.OptionValue(aOption));
  if (!revision) {
    return MakeError(ResultCode::InvalidArgument,
                     "--" + aOption + ": " + revision.error().mMessage);
  }
  auto document = ReadRevision(aInvocation.mClient, *revision);
  if (!document) {
    return tl::unexpected(document.error());
  }
  return std::move(document->mText);
}

Result<std::string> ReadCurrentText(Invocation& aInvocation)
{
  auto document = ReadSettings(aInvocation.mClient);
  if (!document) {
    return tl::unexpected(document.error());
  }
  return document->mText.empty() ? "{}" : std::move(document->mText);
}

Result<void> CheckOnline(Invocation& aInvocation, const std::string& aDocument)
{
  if (aInvocation.mClient.Daemons().empty()) {
    return MakeError(ResultCode::InvalidArgument, "--online needs --daemon");
  }
  const auto response =
    aInvocation.mClient.Send({ .mMethod = "POST",
                               .mTarget = "/v1/settings/check",
                               .mHeaders = {},
                               .mBody = aDocument });
  if (!response) {
    return tl::unexpected(response.error());
  }
  const auto body = netutil::ParseObject(response->mBody);
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (aInvocation.mIsJson) {
    PrintJson(aInvocation.Out(), *body);
    return {};
  }
  Table table({ "SETTING", "BEFORE", "AFTER" });
  if (const json::array* changes = netutil::FindArray(*body, "changes")) {
    for (const json::value& change : *changes) {
      if (const json::object* entry = change.if_object()) {
        table.Add({ FormatValue(*entry, "path"),
                    FormatValue(*entry, "before"),
                    FormatValue(*entry, "after") });
      }
    }
  }
  aInvocation.Out() << "valid\n";
  table.Print(aInvocation.Out());
  return {};
}

} // namespace

Result<Revision> ParseRevision(const std::string& aText)
{
  Revision revision;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] =
    std::from_chars(aText.data(), last, revision.mNumber);
  if (aText.empty() || error != std::errc() || end != last) {
    return MakeError(ResultCode::InvalidArgument,
                     "'" + aText + "' is not a revision number");
  }
  return revision;
}

void AddDiff(cxxopts::OptionAdder& aAdd)
{
  aAdd("from", "Revision", cxxopts::value<std::string>(), "REVISION");
  aAdd("to",
       "Revision (default: the current one)",
       cxxopts::value<std::string>(),
       "REVISION");
}

void AddCheck(cxxopts::OptionAdder& aAdd)
{
  aAdd("online", "Validate on a daemon and show what would change");
}

Result<void> RunDiff(Invocation& aInvocation)
{
  const bool hasFile = !aInvocation.mArguments.empty();
  if (hasFile == aInvocation.HasOption("from") ||
      (hasFile && aInvocation.HasOption("to"))) {
    return MakeError(ResultCode::InvalidArgument,
                     "'settings diff' needs either a FILE or --from REVISION");
  }
  const auto before = hasFile ? ReadCurrentText(aInvocation)
                              : ReadRevisionText(aInvocation, "from");
  if (!before) {
    return tl::unexpected(before.error());
  }
  const auto after = hasFile ? netutil::ReadFile(aInvocation.mArguments[0])
                     : aInvocation.HasOption("to")
                       ? ReadRevisionText(aInvocation, "to")
                       : ReadCurrentText(aInvocation);
  if (!after) {
    return tl::unexpected(after.error());
  }
  const auto changes = CompareSettings(*before, *after);
  if (!changes) {
    return tl::unexpected(changes.error());
  }
  ShowChanges(aInvocation, *changes);
  return {};
}

Result<void> RunHistory(Invocation& aInvocation)
{
  auto body = aInvocation.mClient.GetObject("/v1/settings/history");
  if (!body && body.error().mCode == ResultCode::UnknownNode) {
    // The history does not exist before the first accepted change.
    body = json::object{ { "changes", json::array() } };
  }
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (aInvocation.mIsJson) {
    PrintJson(aInvocation.Out(), *body);
    return {};
  }
  Table table({ "REVISION", "OPERATOR", "OPERATION", "SUMMARY" });
  if (const json::array* changes = netutil::FindArray(*body, "changes")) {
    for (const json::value& change : *changes) {
      if (const json::object* entry = change.if_object()) {
        table.Add({ FormatValue(*entry, "revision"),
                    FormatValue(*entry, "operator"),
                    FormatValue(*entry, "operation"),
                    FormatValue(*entry, "summary") });
      }
    }
  }
  table.Print(aInvocation.Out());
  return {};
}

Result<void> RunRevert(Invocation& aInvocation)
{
  const auto revision = ParseRevision(aInvocation.mArguments[0]);
  if (!revision) {
    return tl::unexpected(revision.error());
  }
  auto base = ReadSettings(aInvocation.mClient);
  if (!base) {
    return tl::unexpected(base.error());
  }
  auto earlier = ReadRevision(aInvocation.mClient, *revision);
  if (!earlier) {
    return tl::unexpected(earlier.error());
  }
  const std::string summary = aInvocation.OptionValue("summary");
  const std::string defaultSummary =
    "revert to revision " + aInvocation.mArguments[0];
  const auto outcome =
    WriteSettings(aInvocation,
                  { .mBase = std::move(*base),
                    .mDocument = std::move(earlier->mText),
                    .mSummary = summary.empty() ? defaultSummary : summary,
                    .mFile = {} });
  if (!outcome) {
    return tl::unexpected(outcome.error());
  }
  ShowOutcome(aInvocation, *outcome);
  return {};
}

Result<void> RunCheck(Invocation& aInvocation)
{
  const std::string& path = aInvocation.mArguments[0];
  const auto text = netutil::ReadFile(path);
  if (!text) {
    return tl::unexpected(text.error());
  }
  const std::string document = ParseRevisionMark(*text).mDocument;
  const auto parsed = ParseSettings(document, Revision{});
  if (!parsed) {
    return MakeError(parsed.error().mCode,
                     path + ": " + parsed.error().mMessage);
  }
  if (aInvocation.HasOption("online")) {
    return CheckOnline(aInvocation, document);
  }
  if (aInvocation.mIsJson) {
    json::object body;
    body["valid"] = true;
    PrintJson(aInvocation.Out(), body);
    return {};
  }
  aInvocation.Out() << "valid\n";
  return {};
}

} // namespace cranberrywing::cli
