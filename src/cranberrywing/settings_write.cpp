#include "cranberrywing/settings_write.h"

#include <algorithm>

#include "cranberrywing/output.h"
#include "netutil/json.h"

namespace cranberrywing::cli {

namespace {

/// Time between attempts; settings are in force everywhere within seconds.
constexpr Duration kRoundInterval = std::chrono::seconds(1);
/// Attempts while no daemon has taken the revision that was read.
constexpr int kBehindRounds = 5;

Result<Revision> ReadRevisionOf(const Result<AnswerContent>& aAnswer)
{
  if (!aAnswer) {
    return tl::unexpected(aAnswer.error());
  }
  const auto body = netutil::ParseObject(aAnswer->mBody);
  const auto number = body ? netutil::FindInteger(*body, "revision")
                           : std::optional<std::int64_t>();
  if (!number) {
    // The daemon took the write, but its answer cannot be read.
    return MakeError(ResultCode::OutcomeUnknown,
                     "the daemon's answer holds no revision");
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
      { "Cranberrywing-Summary", Printable(mWrite.mSummary) });
  }
  return ReadRevisionOf(mClient.Send(request));
}

Result<Revision> SettingsWriter::PutWhenTaken() const
{
  auto revision = Put();
  for (int n = 1; n < kBehindRounds; ++n) {
    if (revision || revision.error().mCode != ResultCode::NoConfiguration) {
      break;
    }
    mSleep(kRoundInterval);
    revision = Put();
  }
  return revision;
}

SettingsWriter::Lookup SettingsWriter::FindOperation() const
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
      return { Finding::Accepted, revision };
    }
    oldest = std::min(oldest, revision);
    newest = std::max(newest, revision);
  }
  // The list must reach back to the base: an older change has left it.
  const bool isComplete = oldest.mNumber <= mWrite.mBase.mNumber + 1;
  const bool isOvertaken = newest > mWrite.mBase;
  return { isComplete && isOvertaken ? Finding::NotAccepted
                                     : Finding::Undecided,
           newest };
}

Result<Revision> SettingsWriter::Settle() const
{
  for (int n = 0; n < kSettleRounds; ++n) {
    const Lookup lookup = FindOperation();
    if (lookup.mFinding == Finding::Accepted) {
      return lookup.mRevision;
    }
    if (lookup.mFinding == Finding::NotAccepted) {
      return MakeError(ResultCode::RevisionConflict,
                       "revision " + std::to_string(lookup.mRevision.mNumber) +
                         " was accepted meanwhile");
    }
    // The store makes an operation once, so it may be sent again. A conflict
    // proves nothing: the first attempt may be what it conflicts with.
    const auto revision = Put();
    if (revision) {
      return revision;
    }
    mSleep(kRoundInterval);
  }
  return MakeError(ResultCode::OutcomeUnknown,
                   "it is not known whether the change was accepted; look for "
                   "operation " +
                     mWrite.mOperation + " in 'settings history'");
}

Result<Revision> SettingsWriter::Write()
{
  const auto revision = PutWhenTaken();
  if (revision || revision.error().mCode != ResultCode::OutcomeUnknown) {
    return revision;
  }
  return Settle();
}

} // namespace cranberrywing::cli
