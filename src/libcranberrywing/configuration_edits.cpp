// Operators' edits: written by compare-and-swap on the root record. After a
// lost reply, the record is read back to find the outcome.

#include "cranberrywing/configuration.h"
#include "cranberrywing/settings.h"

namespace cranberrywing {

namespace {

constexpr Duration kMinRetryDelay = Milliseconds(200);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

/// Maximum number of concurrent edits. Each holds documents of up to
/// kMaxDocumentBytes, and the daemon's memory is limited.
constexpr std::size_t kMaxPendingEdits = 8;

std::string Number(Revision aRevision)
{
  return std::to_string(aRevision.mNumber);
}

/// Validates an edit before the store is contacted; nullopt if it is valid.
std::optional<Error> CheckEdit(const SettingsEdit& aEdit)
{
  if (aEdit.mOperation.IsEmpty()) {
    return Error{ ResultCode::NotAccepted, "the change has no operation id" };
  }
  if (aEdit.mDocument.size() > kMaxDocumentBytes) {
    return Error{ ResultCode::InvalidSettings,
                  "the document has " + std::to_string(aEdit.mDocument.size()) +
                    " bytes; the store takes at most " +
                    std::to_string(kMaxDocumentBytes) };
  }
  const auto settings = ParseSettings(aEdit.mDocument, aEdit.mBase);
  if (!settings) {
    return settings.error();
  }
  return std::nullopt;
}

} // namespace

void Configuration::OnEdit(const event::EditRequested& aEvent,
                           TimePoint aNow,
                           EffectList& aOut)
{
  const std::uint64_t number = NextCall();
  PendingEdit& edit = mEdits[number];
  edit.mRequest = aEvent.mRequest;
  edit.mEdit = aEvent.mEdit;
  edit.mDeadline = aNow + mOptions.mEditTimeout;
  const EditMap::iterator it = mEdits.find(number);
  if (const auto error = CheckEdit(edit.mEdit)) {
    AnswerEdit(it, error->mCode, mCurrent->mRevision, error->mMessage, aOut);
  } else if (mEdits.size() > kMaxPendingEdits) {
    AnswerEdit(it,
               ResultCode::NotAccepted,
               mCurrent->mRevision,
               "too many changes are under way on this VM; try again",
               aOut);
  } else {
    ReadForEdit(edit, aNow, aOut);
  }
}

void Configuration::ReadForEdit(PendingEdit& aEdit,
                                TimePoint aNow,
                                EffectList& aOut)
{
  aEdit.mStage = EditStage::Read;
  aEdit.mCall = NextCall();
  aEdit.mSent = aNow;
  effect::CallStore call;
  call.mCall = { Component::Configuration, aEdit.mCall };
  call.mRequest.mTxn.emplace().mReads.push_back(
    { .mKey = RootKey(), .mRangeEnd = {} });
  aOut.push_back(std::move(call));
}

void Configuration::WriteEdit(PendingEdit& aEdit,
                              TimePoint aNow,
                              EffectList& aOut)
{
  aEdit.mStage = EditStage::Write;
  aEdit.mCall = NextCall();
  aEdit.mSent = aNow;
  const std::string& prefix = mOptions.mStorePrefix;
  const Revision revision = aEdit.mRecord.mVersion.mRevision;
  effect::CallStore call;
  call.mCall = { Component::Configuration, aEdit.mCall };
  StoreTxn& txn = call.mRequest.mTxn.emplace();
  txn.mCompares.push_back({ RootKey(), aEdit.mModRevision });
  txn.mPuts.push_back(
    { .mKey = RootKey(), .mValue = EncodeRecord(aEdit.mRecord) });
  txn.mPuts.push_back(
    { .mKey = ConfigurationHistoryKey(prefix, revision),
      .mValue = EncodeRecord(MakeHistoryRecord(aEdit.mRecord)) });
  if (revision.mNumber > mOptions.mHistoryLength) {
    const Revision oldest{ revision.mNumber - mOptions.mHistoryLength + 1 };
    txn.mDeletes.push_back({ ConfigurationHistoryKey(prefix, Revision()),
                             ConfigurationHistoryKey(prefix, oldest) });
  }
  txn.mReads.push_back({ .mKey = RootKey(), .mRangeEnd = {} });
  aOut.push_back(std::move(call));
}

void Configuration::OnEditReply(EditMap::iterator aEdit,
                                const event::StoreReplied& aReply,
                                TimePoint aNow,
                                EffectList& aOut)
{
  PendingEdit& edit = aEdit->second;
  const bool wasWrite = edit.mStage == EditStage::Write;
  edit.mCall = 0;
  if (!aReply.mReply) {
    // A failed read has no effect. The outcome of a failed write is unknown
    // unless the store certainly did not receive it.
    if (wasWrite &&
        aReply.mReply.error().mCode != ResultCode::StoreUnavailable) {
      edit.mMayHaveWritten = true;
    }
    edit.mStage = EditStage::Wait;
    edit.mNext = aNow + Backoff(kMinRetryDelay, kMaxRetryDelay, edit.mFailures);
    ++edit.mFailures;
    return;
  }
  if (wasWrite && aReply.mReply->mSucceeded) {
    const ConfigurationRecord& record = edit.mRecord;
    mRoot.reset();
    Activate(record.mVersion, record.mDocument, "edit", aNow, aOut);
    AnswerEdit(aEdit, ResultCode::Ok, record.mVersion.mRevision, "", aOut);
    return;
  }
  OnEditRoot(aEdit, *aReply.mReply, aNow, aOut);
}

void Configuration::OnEditRoot(EditMap::iterator aEdit,
                               const StoreReply& aReply,
                               TimePoint aNow,
                               EffectList& aOut)
{
  StoreRoot root;
  ConfigurationRecord record;
  if (!aReply.mEntries.empty() && aReply.mEntries.front().mModRevision != 0) {
    auto decoded = DecodeRecord(aReply.mEntries.front().mValue);
    if (!decoded) {
      AnswerEdit(aEdit,
                 aEdit->second.mMayHaveWritten ? ResultCode::OutcomeUnknown
                                               : ResultCode::NotAccepted,
                 mCurrent->mRevision,
                 decoded.error().mMessage,
                 aOut);
      return;
    }
    record = std::move(*decoded);
    root = { aReply.mEntries.front().mModRevision, record.mVersion };
  }
  Activate(record.mVersion, record.mDocument, "store", aNow, aOut);
  if (const auto* change = record.FindChange(aEdit->second.mEdit.mOperation)) {
    AnswerEdit(aEdit, ResultCode::Ok, change->mRevision, "", aOut);
  } else if (aEdit->second.mMayHaveWritten) {
    ResolveEdit(aEdit, root, record, aNow, aOut);
  } else {
    BeginWrite(aEdit, root, record, aNow, aOut);
  }
}

void Configuration::ResolveEdit(EditMap::iterator aEdit,
                                const StoreRoot& aRoot,
                                const ConfigurationRecord& aRecord,
                                TimePoint aNow,
                                EffectList& aOut)
{
  PendingEdit& edit = aEdit->second;
  if (aRoot.mModRevision == edit.mModRevision) {
    // The lost write has not taken effect yet but still may. Repeating it is
    // safe: both writes compare with the same root revision, so at most one of
    // them takes effect, and either way the edit is accepted.
    WriteEdit(edit, aNow, aOut);
    return;
  }
  const Revision written = edit.mRecord.mVersion.mRevision;
  const bool isCovered = aRecord.mVersion.mRevision >= written &&
                         !aRecord.mChanges.empty() &&
                         aRecord.mChanges.front().mRevision <= written;
  if (isCovered) {
    AnswerEdit(aEdit,
               ResultCode::NotAccepted,
               aRecord.mVersion.mRevision,
               "another change was accepted in place of this one",
               aOut);
    return;
  }
  AnswerEdit(
    aEdit,
    ResultCode::OutcomeUnknown,
    aRecord.mVersion.mRevision,
    "the store's history no longer shows whether the change was accepted",
    aOut);
}

void Configuration::BeginWrite(EditMap::iterator aEdit,
                               const StoreRoot& aRoot,
                               const ConfigurationRecord& aRecord,
                               TimePoint aNow,
                               EffectList& aOut)
{
  PendingEdit& edit = aEdit->second;
  const Revision stored = aRoot.mVersion.mRevision;
  const bool isBehind = IsBehind(aRoot.mVersion);
  if (isBehind && edit.mSent < mInForceSince) {
    // The read may predate the acceptance of the active revision.
    ReadForEdit(edit, aNow, aOut);
    return;
  }
  if (isBehind) {
    ReportStoreBehind(aRoot.mVersion, aOut);
  }
  if (isBehind && !edit.mEdit.mReplacesRestoredStore) {
    AnswerEdit(aEdit,
               ResultCode::NotAccepted,
               mCurrent->mRevision,
               "the store holds revision " + Number(stored) +
                 ", but revision " + Number(mCurrent->mRevision) +
                 " is in force: the store seems to be restored from a "
                 "backup. Repeat the change as a replacement of the "
                 "restored store",
               aOut);
    return;
  }
  const Revision newest = std::max(stored, mCurrent->mRevision);
  if (edit.mEdit.mBase != newest) {
    AnswerEdit(aEdit,
               ResultCode::RevisionConflict,
               newest,
               "the change was made against revision " +
                 Number(edit.mEdit.mBase) + ", but the newest is " +
                 Number(newest),
               aOut);
    return;
  }
  edit.mModRevision = aRoot.mModRevision;
  edit.mRecord =
    MakeRecord(aRecord, edit.mEdit, newest, mOptions.mHistoryLength);
  WriteEdit(edit, aNow, aOut);
}

void Configuration::AnswerEdit(EditMap::iterator aEdit,
                               ResultCode aCode,
                               Revision aRevision,
                               std::string aMessage,
                               EffectList& aOut)
{
  const PendingEdit& edit = aEdit->second;
  aOut.push_back(
    effect::RecordTimeline{ "configuration_edit",
                            { { "operation", edit.mEdit.mOperation.mName },
                              { "operator", edit.mEdit.mOperator },
                              { "summary", edit.mEdit.mSummary },
                              { "result", std::string(ToString(aCode)) },
                              { "revision", Number(aRevision) } } });
  aOut.push_back(effect::AnswerEdit{ .mRequest = edit.mRequest,
                                     .mCode = aCode,
                                     .mRevision = aRevision,
                                     .mMessage = std::move(aMessage) });
  mEdits.erase(aEdit);
}

void Configuration::CheckEdits(TimePoint aNow, EffectList& aOut)
{
  for (auto it = mEdits.begin(); it != mEdits.end();) {
    const EditMap::iterator edit = it++;
    const bool mayHaveWritten =
      edit->second.mMayHaveWritten || edit->second.mStage == EditStage::Write;
    if (aNow >= edit->second.mDeadline) {
      AnswerEdit(edit,
                 mayHaveWritten ? ResultCode::OutcomeUnknown
                                : ResultCode::StoreUnavailable,
                 mCurrent->mRevision,
                 mayHaveWritten ? "the store did not confirm in time whether "
                                  "the change was accepted"
                                : "the store could not be reached",
                 aOut);
    } else if (edit->second.mStage == EditStage::Wait &&
               aNow >= edit->second.mNext) {
      ReadForEdit(edit->second, aNow, aOut);
    }
  }
}

} // namespace cranberrywing
