#include "cranberrywing/settings_access.h"

#include <array>
#include <charconv>
#include <openssl/rand.h>

#include "cranberrywing/kept_file.h"
#include "cranberrywing/settings_write.h"
#include "netutil/headers.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

constexpr std::size_t kOperationBytes = 16;

Result<Revision> ParseEntityTag(const AnswerContent& aResponse)
{
  const std::string* tag = netutil::FindHeader(aResponse.mHeaders, "ETag");
  Revision revision;
  if (tag && tag->size() > 2) {
    const char* const last = tag->data() + tag->size() - 1;
    const auto [end, error] =
      std::from_chars(tag->data() + 1, last, revision.mNumber);
    if (error == std::errc() && end == last) {
      return revision;
    }
  }
  return MakeError(
    ResultCode::Malformed,
    "the response of the daemon has no valid ETag with a revision");
}

Result<SettingsDocument> ReadDocument(const Result<AnswerContent>& aResponse)
{
  if (!aResponse) {
    return tl::unexpected(aResponse.error());
  }
  const auto revision = ParseEntityTag(*aResponse);
  if (!revision) {
    return tl::unexpected(revision.error());
  }
  return SettingsDocument{ aResponse->mBody, *revision };
}

/// The document of a fleet without settings is empty, which cannot be compared;
/// replace it by an empty map.
std::string_view NonEmptyDocument(const std::string& aDocument)
{
  return aDocument.empty() ? std::string_view("{}") : aDocument;
}

/// Prints the changes that were accepted after the base revision.
void ShowConflictingChanges(Invocation& aInvocation,
                            const SettingsUpdate& aUpdate)
{
  const auto newest = ReadSettings(aInvocation.mClient);
  if (!newest) {
    return;
  }
  const auto changes = CompareSettings(NonEmptyDocument(aUpdate.mBase.mText),
                                       NonEmptyDocument(newest->mText));
  if (!changes) {
    return;
  }
  aInvocation.ErrorOut() << "Revision " << newest->mRevision.mNumber
                         << " is in force; revision "
                         << aUpdate.mBase.mRevision.mNumber
                         << " was read. Changed in between:\n";
  PrintChanges(aInvocation.ErrorOut(), *changes);
  if (aInvocation.mIsJson) {
    json::object conflict;
    conflict["read_revision"] = aUpdate.mBase.mRevision.mNumber;
    conflict["newest_revision"] = newest->mRevision.mNumber;
    conflict["changes"] = EncodeChanges(*changes);
    json::object body;
    body["conflict"] = std::move(conflict);
    PrintJson(aInvocation.Out(), body);
  }
}

void SaveRecoveryDocument(Invocation& aInvocation,
                          const SettingsUpdate& aUpdate,
                          const std::string& aOperation)
{
  std::string path = aUpdate.mFile;
  if (path.empty()) {
    const auto savedPath = SaveRecoveryFile(
      aInvocation.mContext.mRecoveryDirectory,
      "cranberrywing-" + aOperation + ".yaml",
      AddRevisionMark(aUpdate.mDocument, aUpdate.mBase.mRevision));
    if (!savedPath) {
      aInvocation.ErrorOut() << savedPath.error().mMessage << '\n';
      return;
    }
    path = *savedPath;
  }
  aInvocation.ErrorOut() << "The edited document is kept in " << path << '\n';
}

} // namespace

Result<std::string> RandomHex(std::size_t aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::vector<unsigned char> bytes(aBytes);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return MakeError(ResultCode::Internal,
                     "the system provides no random bytes");
  }
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

Result<SettingsDocument> ReadSettings(const ApiClient& aClient)
{
  return ReadDocument(aClient.Get("/v1/settings"));
}

Result<SettingsDocument> ReadRevision(const ApiClient& aClient,
                                      Revision aRevision)
{
  return ReadDocument(aClient.Get(
    MakeTarget("/v1/settings/revision",
               { { "number", std::to_string(aRevision.mNumber) } })));
}

Result<SettingsOutcome> WriteSettings(Invocation& aInvocation,
                                      const SettingsUpdate& aUpdate)
{
  const auto parsed = ParseSettings(aUpdate.mDocument, Revision{});
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  auto changes =
    CompareSettings(NonEmptyDocument(aUpdate.mBase.mText), aUpdate.mDocument);
  if (!changes) {
    return tl::unexpected(changes.error());
  }
  if (aUpdate.mDocument == aUpdate.mBase.mText) {
    return SettingsOutcome{ aUpdate.mBase.mRevision, {} };
  }
  const auto operation = RandomHex(kOperationBytes);
  if (!operation) {
    return tl::unexpected(operation.error());
  }
  SettingsWriter writer(aInvocation.mClient,
                        { .mOperation = *operation,
                          .mBase = aUpdate.mBase.mRevision,
                          .mDocument = aUpdate.mDocument,
                          .mSummary = aUpdate.mSummary },
                        aInvocation.mContext.mSleep);
  const auto revision = writer.Write();
  if (revision) {
    return SettingsOutcome{ *revision, std::move(*changes) };
  }
  const ResultCode code = revision.error().mCode;
  if (code == ResultCode::RevisionConflict) {
    ShowConflictingChanges(aInvocation, aUpdate);
  }
  if (aUpdate.mSaveOnFailure) {
    SaveRecoveryDocument(aInvocation, aUpdate, *operation);
  }
  return tl::unexpected(revision.error());
}

void ShowOutcome(Invocation& aInvocation, const SettingsOutcome& aOutcome)
{
  if (aInvocation.mIsJson) {
    json::object body;
    body["revision"] = aOutcome.mRevision.mNumber;
    body["changes"] = EncodeChanges(aOutcome.mChanges);
    PrintJson(aInvocation.Out(), body);
    return;
  }
  if (aOutcome.mChanges.empty()) {
    aInvocation.Out() << "no setting differs; revision "
                      << aOutcome.mRevision.mNumber << '\n';
    return;
  }
  PrintChanges(aInvocation.Out(), aOutcome.mChanges);
  aInvocation.Out() << "accepted as revision " << aOutcome.mRevision.mNumber
                    << '\n';
}

Result<void> ChangeSettings(
  Invocation& aInvocation,
  const std::string& aSummary,
  const std::function<Result<SettingValues>(const SettingsSnapshot&)>& aMake)
{
  auto base = ReadSettings(aInvocation.mClient);
  if (!base) {
    return tl::unexpected(base.error());
  }
  const auto parsed = ParseSettings(base->mText, base->mRevision);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const auto values = aMake(**parsed);
  if (!values) {
    return tl::unexpected(values.error());
  }
  std::string document = base->mText;
  for (const SettingValue& entry : *values) {
    auto edited = EditSetting(document, entry.mPath, entry.mValue);
    if (!edited) {
      return tl::unexpected(edited.error());
    }
    document = std::move(*edited);
  }
  const auto outcome = WriteSettings(aInvocation,
                                     { .mBase = std::move(*base),
                                       .mDocument = std::move(document),
                                       .mSummary = aSummary,
                                       .mFile = {} });
  if (!outcome) {
    return tl::unexpected(outcome.error());
  }
  ShowOutcome(aInvocation, *outcome);
  return {};
}

} // namespace cranberrywing::cli
