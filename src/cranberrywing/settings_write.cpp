#include "cranberrywing/settings_write.h"

#include <algorithm>

#include "cranberrywing/output.h"
#include "netutil/json.h"

namespace cranberrywing::cli {

namespace {

/// Time between attempts. Daemons load new settings within seconds.
constexpr Duration kRetryInterval = std::chrono::seconds(1);
/// Attempts while no daemon has loaded the base revision.
constexpr int kStaleDaemonAttempts = 5;

Result<Revision> ParseAcceptedRevision(const Result<AnswerContent>& aResponse)
{
  if (!aResponse) {
    return tl::unexpected(aResponse.error());
  }
  const auto body = netutil::ParseObject(aResponse->mBody);
  const auto number = body ? netutil::FindInteger(*body, "revision")
                           : std::optional<std::int64_t>();
  if (!number) {
    // The daemon accepted the write, but its response is unreadable.
    return MakeError(ResultCode::OutcomeUnknown,
                     "the response of the daemon contains no revision");
  }
  return Revision{ static_cast<std::uint64_t>(*number) };
}

} // namespace

SettingsWriter::SettingsWriter(const ApiClient& aClient,
                               SettingsWrite aWrite,
                               std::function<void(Duration)> aSleep)
  : mClient(aClient)
  , mWrite(std::move(aWrite))
  , mSleep(std::move(aSleep))
{
}

Result<Revision> SettingsWriter::Put() const
{
  const std::string tag = "\"" + std::to_string(mWrite.mBase.mNumber) + "\"";
  RequestContent request{ .mMethod = "PUT",
                          .mTarget = "/v1/settings",
                          .mHeaders = { { "Content-Type", "application/yaml" },
                                        { "If-Match", tag },
                                        { "Idempotency-Key",
                                          mWrite.mOperation } },
                          .mBody = mWrite.mDocument };
  if (!mWrite.mSummary.empty()) {
    request.mHeaders.push_back(
      { "Cranberrywing-Summary", ReplaceControlCharacters(mWrite.mSummary) });
  }
  return ParseAcceptedRevision(mClient.Send(request));
}

Result<Revision> SettingsWriter::PutWithRetry() const
{
  auto revision = Put();
  for (int n = 1; n < kStaleDaemonAttempts; ++n) {
    if (revision || revision.error().mCode != ResultCode::NoConfiguration) {
      break;
    }
    mSleep(kRetryInterval);
    revision = Put();
  }
  return revision;
}

SettingsWriter::OperationLookup SettingsWriter::FindOperation() const
{
  const auto body = mClient.GetObject("/v1/settings/history");
  const boost::json::array* const changes =
    body ? netutil::FindArray(*body, "changes") : nullptr;
  if (!changes) {
    return {};
  }
  Revision oldest{ UINT64_MAX };
  Revision newest;
  for (const boost::json::value& value : *changes) {
    const boost::json::object* const change = value.if_object();
    const auto number = change ? netutil::FindInteger(*change, "revision")
                               : std::optional<std::int64_t>();
    if (!number) {
      continue;
    }
    const Revision revision{ static_cast<std::uint64_t>(*number) };
    if (netutil::FindString(*change, "operation") == mWrite.mOperation) {
      return { OperationState::Accepted, revision };
    }
    oldest = std::min(oldest, revision);
    newest = std::max(newest, revision);
  }
  // The history keeps only the latest changes. The operation is certainly
  // missing only if the list reaches back to the base revision.
  const bool isComplete = oldest.mNumber <= mWrite.mBase.mNumber + 1;
  const bool isOvertaken = newest > mWrite.mBase;
  return { isComplete && isOvertaken ? OperationState::NotAccepted
                                     : OperationState::Undecided,
           newest };
}

Result<Revision> SettingsWriter::ResolveOutcome() const
{
  for (int n = 0; n < kResolveAttempts; ++n) {
    const OperationLookup lookup = FindOperation();
    if (lookup.mState == OperationState::Accepted) {
      return lookup.mRevision;
    }
    if (lookup.mState == OperationState::NotAccepted) {
      return MakeError(ResultCode::RevisionConflict,
                       "revision " + std::to_string(lookup.mRevision.mNumber) +
                         " was accepted meanwhile");
    }
    // Repeating is safe, because the store executes an operation id at most
    // once. A conflict is not conclusive: the first attempt may have caused it.
    const auto revision = Put();
    if (revision) {
      return revision;
    }
    mSleep(kRetryInterval);
  }
  return MakeError(ResultCode::OutcomeUnknown,
                   "it is unknown whether the change was accepted; look for "
                   "operation " +
                     mWrite.mOperation + " in 'settings history'");
}

Result<Revision> SettingsWriter::Write()
{
  const auto revision = PutWithRetry();
  if (revision || revision.error().mCode != ResultCode::OutcomeUnknown) {
    return revision;
  }
  return ResolveOutcome();
}

} // namespace cranberrywing::cli
