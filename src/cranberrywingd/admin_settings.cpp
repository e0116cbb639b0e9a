#include "cranberrywingd/admin_settings.h"

#include <array>
#include <boost/json/object.hpp>

#include "cranberrywing/parse_number.h"
#include "netutil/headers.h"
#include "netutil/problem.h"

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 2> kSecretPaths{
  "fleet/key_pepper",
  "fleet/ticket_secret",
};
constexpr std::string_view kRedactedValue = "(hidden)";
constexpr std::string_view kBearer = "Bearer ";

std::string Placeholder(std::string_view aPath)
{
  return "hidden:" + std::string(aPath);
}

/// Replaces all occurrences and returns their number.
std::size_t ReplaceAll(std::string& aText,
                       const std::string& aFrom,
                       const std::string& aTo)
{
  std::size_t count = 0;
  std::size_t start = aText.find(aFrom);
  while (start != std::string::npos) {
    aText.replace(start, aFrom.size(), aTo);
    ++count;
    start = aText.find(aFrom, start + aTo.size());
  }
  return count;
}

/// An edit refused with aError.
PreparedEdit RefuseEdit(const Error& aError)
{
  return { .mEdit = {}, .mRefusal = netutil::MakeProblemResponse(aError) };
}

std::string SummaryOf(const RequestContent& aRequest)
{
  const std::string* summary =
    netutil::FindHeader(aRequest.mHeaders, "Cranberrywing-Summary");
  return summary ? *summary : std::string();
}

} // namespace

std::string BearerToken(const RequestContent& aRequest)
{
  const std::string* value =
    netutil::FindHeader(aRequest.mHeaders, "Authorization");
  if (!value || value->size() < kBearer.size() ||
      !netutil::EqualsIgnoreCase(value->substr(0, kBearer.size()), kBearer)) {
    return {};
  }
  return value->substr(kBearer.size());
}

std::string RedactSecrets(std::string_view aDocument)
{
  std::string shown(aDocument);
  for (const std::string_view path : kSecretPaths) {
    const auto secret = ReadSetting(aDocument, path);
    if (!secret || secret->empty()) {
      continue;
    }
    if (ReplaceAll(shown, *secret, Placeholder(path)) > 0) {
      continue;
    }
    // The secret is written with escape sequences, so its plain text does not
    // occur. If it cannot be replaced by an edit either, nothing is shown.
    const auto edited = EditSetting(shown, path, Placeholder(path));
    shown = edited ? *edited : std::string();
  }
  return shown;
}

std::string RestoreSecrets(std::string_view aDocument, std::string_view aActive)
{
  std::string restored(aDocument);
  for (const std::string_view path : kSecretPaths) {
    const auto secret = ReadSetting(aActive, path);
    if (secret && !secret->empty()) {
      ReplaceAll(restored, Placeholder(path), *secret);
    }
  }
  return restored;
}

json::array EncodeChanges(const std::vector<SettingsChange>& aChanges)
{
  json::array list;
  for (const SettingsChange& change : aChanges) {
    const bool isSecret = IsSecretSetting(change.mPath);
    const auto shown = [isSecret](const std::string& aValue) {
      return isSecret && !aValue.empty() ? std::string(kRedactedValue) : aValue;
    };
    json::object one;
    one["path"] = change.mPath;
    one["before"] = shown(change.mBefore);
    one["after"] = shown(change.mAfter);
    list.push_back(std::move(one));
  }
  return list;
}

Result<CheckedDocument> CheckDocument(std::string_view aDocument,
                                      const ActiveDocument& aActive)
{
  CheckedDocument checked;
  checked.mDocument = RestoreSecrets(aDocument, aActive.mDocument);
  const auto parsed = ParseSettings(checked.mDocument, Revision{});
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  // A VM that has no settings yet compares with an empty document.
  const std::string_view before =
    aActive.mDocument.empty() ? "{}" : aActive.mDocument;
  auto changes = CompareSettings(before, checked.mDocument);
  if (!changes) {
    return tl::unexpected(changes.error());
  }
  checked.mChanges = std::move(*changes);
  return checked;
}

std::string EntityTag(Revision aRevision)
{
  return "\"" + std::to_string(aRevision.mNumber) + "\"";
}

Result<Revision> ReadEntityTag(std::string_view aText)
{
  if (aText.size() > 2 && aText.front() == '"' && aText.back() == '"') {
    const auto number =
      ParseNumber<std::uint64_t>(aText.substr(1, aText.size() - 2));
    if (number) {
      return Revision{ *number };
    }
  }
  return MakeError(ResultCode::InvalidArgument,
                   "If-Match must contain the ETag of the settings that were "
                   "read, such as \"17\"");
}

AnswerContentPtr ConflictAnswer(const std::string& aDocument,
                                const ActiveDocument& aActive,
                                const std::string& aDetail)
{
  json::object members;
  members["revision"] = aActive.mSnapshot->mRevision.mNumber;
  const auto checked = CheckDocument(aDocument, aActive);
  if (checked) {
    members["changes"] = EncodeChanges(checked->mChanges);
  }
  return netutil::MakeProblemResponse(
    Error{ ResultCode::RevisionConflict, aDetail }, std::move(members));
}

PreparedEdit PrepareEdit(const RequestContent& aRequest,
                         const ActiveDocument& aActive,
                         const std::string& aGeneratedOperationId)
{
  const auto identity =
    IdentifyOperator(*aActive.mSnapshot, BearerToken(aRequest));
  if (!identity) {
    return RefuseEdit(identity.error());
  }
  const std::string* tag = netutil::FindHeader(aRequest.mHeaders, "If-Match");
  const auto base = ReadEntityTag(tag ? *tag : std::string());
  if (!base) {
    return RefuseEdit(base.error());
  }
  const Revision current = aActive.mSnapshot->mRevision;
  if (*base > current) {
    return RefuseEdit({ ResultCode::NoConfiguration,
                        "this VM has not received revision " +
                          std::to_string(base->mNumber) +
                          " yet; try again in a second" });
  }
  if (*base < current) {
    return { .mEdit = {},
             .mRefusal =
               ConflictAnswer(aRequest.mBody,
                              aActive,
                              "revision " + std::to_string(current.mNumber) +
                                " was accepted meanwhile") };
  }
  auto checked = CheckDocument(aRequest.mBody, aActive);
  if (!checked) {
    return RefuseEdit(checked.error());
  }
  const auto role = CheckRole(*identity, checked->mChanges);
  if (!role) {
    return RefuseEdit(role.error());
  }
  const std::string* operation =
    netutil::FindHeader(aRequest.mHeaders, "Idempotency-Key");
  PreparedEdit prepared;
  prepared.mEdit = {
    .mOperation = OperationId(operation ? *operation : aGeneratedOperationId),
    .mOperator = identity->mName,
    .mSummary = SummaryOf(aRequest),
    .mBase = *base,
    .mDocument = std::move(checked->mDocument),
  };
  return prepared;
}

} // namespace cranberrywing::daemon
