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

Result<Revision> ReadEntityTag(const AnswerContent& aAnswer)
{
  const std::string* tag = netutil::FindHeader(aAnswer.mHeaders, "ETag");
  Revision revision;
  if (tag && tag->size() > 2) {
    const char* const last = tag->data() + tag->size() - 1;
    const auto [end, error] =
      std::from_chars(tag->data() + 1, last, revision.mNumber);
    if (error == std::errc() && end == last) {
      return revision;
    }
  }
  return MakeError(ResultCode::Malformed,
                   "the daemon's answer holds no revision");
}

Result<SettingsDocument> ReadDocument(const Result<AnswerContent>& aAnswer)
{
  if (!aAnswer) {
    return tl::unexpected(aAnswer.error());
  }
  const auto revision = ReadEntityTag(*aAnswer);
  if (!revision) {
    return tl::unexpected(revision.error());
  }
  return SettingsDocument{ aAnswer->mBody, *revision };
}

/// A fleet without settings has an empty document.
std::string_view Comparable(const std::string& aDocument)
{
  return aDocument.empty() ? std::string_view("{}") : aDocument;
}

/// Shows what was accepted since the order's base revision.
void ShowOthersChanges(Invocation& aInvocation, const SettingsOrder& aOrder)
{
  const auto newest = ReadSettings(aInvocation.mClient);
  if (!newest) {
    return;
  }
  const auto changes =
    CompareSettings(Comparable(aOrder.mBase.mText), Comparable(newest->mText));
  if (!changes) {
    return;
  }
  aInvocation.Notes() << "Revision " << newest->mRevision.mNumber
                      << " is in force; revision "
                      << aOrder.mBase.mRevision.mNumber
                      << " was read. Changed in between:\n";
  PrintChanges(aInvocation.Notes(), *changes);
  if (aInvocation.mIsJson) {
    json::object conflict;
    conflict["read_revision"] = aOrder.mBase.mRevision.mNumber;
    conflict["newest_revision"] = newest->mRevision.mNumber;
    conflict["changes"] = EncodeChanges(*changes);
    json::object body;
    body["conflict"] = std::move(conflict);
    PrintJson(aInvocation.Out(), body);
  }
}

void KeepDocument(Invocation& aInvocation,
                  const SettingsOrder& aOrder,
                  const std::string& aOperation)
{
  std::string path = aOrder.mFile;
  if (path.empty()) {
    const auto kept =
      KeepFile(aInvocation.mContext.mKeepDirectory,
               "cranberrywing-" + aOperation + ".yaml",
               WithRevisionMark(aOrder.mDocument, aOrder.mBase.mRevision));
    if (!kept) {
      aInvocation.Notes() << kept.error().mMessage << '\n';
      return;
    }
    path = *kept;
  }
  aInvocation.Notes() << "The edited document is kept in " << path << '\n';
}

} // namespace

Result<std::string> RandomHex(std::size_t aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::vector<unsigned char> bytes(aBytes);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return MakeError(ResultCode::Internal, "no random bytes can be had");
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
                                      const SettingsOrder& aOrder)
{
  const auto parsed = ParseSettings(aOrder.mDocument, Revision{});
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  auto changes =
    CompareSettings(Comparable(aOrder.mBase.mText), aOrder.mDocument);
  if (!changes) {
    return tl::unexpected(changes.error());
  }
  if (aOrder.mDocument == aOrder.mBase.mText) {
    return SettingsOutcome{ aOrder.mBase.mRevision, {} };
  }
  const auto operation = RandomHex(kOperationBytes);
  if (!operation) {
    return tl::unexpected(operation.error());
  }
  SettingsWriter writer(aInvocation.mClient,
                        { .mOperation = *operation,
                          .mBase = aOrder.mBase.mRevision,
                          .mDocument = aOrder.mDocument,
                          .mSummary = aOrder.mSummary },
                        aInvocation.mContext.mSleep);
  const auto revision = writer.Write();
  if (revision) {
    return SettingsOutcome{ *revision, std::move(*changes) };
  }
  const ResultCode code = revision.error().mCode;
  if (code == ResultCode::RevisionConflict) {
    ShowOthersChanges(aInvocation, aOrder);
  }
  if (aOrder.mIsKept) {
    KeepDocument(aInvocation, aOrder, *operation);
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
  for (const SettingValue& one : *values) {
    auto edited = EditSetting(document, one.mPath, one.mValue);
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
