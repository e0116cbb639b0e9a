// Reads and watches the root record in the store.

#include "cranberrywing/configuration.h"

namespace cranberrywing {

namespace {

using std::chrono::seconds;

/// Minimum time between two evaluations, which bounds the CPU cost.
constexpr Duration kSyncInterval = Milliseconds(100);

/// Spreads out the first reads of VMs that start at the same time.
constexpr Duration kStartJitter = Milliseconds(200);

/// Time between reads while there is no working watch. Must allow for two
/// failed reads within the isolation limit of 5 s.
constexpr Duration kPollInterval = seconds(1);

/// Time after which a call without a reply counts as lost. The driver's own
/// timeout is shorter.
constexpr Duration kCallTimeout = seconds(5);

constexpr Duration kMaxReadDelay = seconds(4);

/// Bounds of the backoff between attempts to watch after a watch went silent.
constexpr Duration kMinWatchDelay = seconds(3);
constexpr Duration kMaxWatchDelay = seconds(30);

/// Returns the last entry of a read reply or a watch event, or null if there is
/// none.
const StoreEntry* FindRoot(const std::vector<StoreEntry>& aEntries)
{
  return aEntries.empty() ? nullptr : &aEntries.back();
}

} // namespace

void Configuration::SyncWithStore(TimePoint aNow, EffectList& aOut)
{
  if (aNow < mNextSync) {
    return;
  }
  if (mNextSync == TimePoint()) {
    mReads.mNext = aNow + Jitter(kStartJitter * 2) - kStartJitter;
  }
  mNextSync = aNow + kSyncInterval;
  mIsWatcher = mHooks.mIsWatcher();
  if (!mIsWatcher) {
    CloseWatch(aOut);
  }
  CheckWatch(aNow, aOut);

  if (mReads.mCall != 0 && aNow - mReads.mSince > kCallTimeout) {
    mReads.mCall = 0;
    ++mReads.mFailures;
  }
  const bool needsPeers = !mIsWatcher && !mPeerVersionSeen &&
                          !mReads.mAnswered &&
                          aNow - mStarted >= mOptions.mPeerWait;
  const bool needsReads = mIsWatcher && !(mWatch.mEstablished && IsConfirmed());
  if ((needsPeers || needsReads) && mReads.mCall == 0 && aNow >= mReads.mNext) {
    StartRead(aNow, aOut);
  }
}

void Configuration::CheckWatch(TimePoint aNow, EffectList& aOut)
{
  if (mWatch.mCall == 0 ||
      aNow - mWatch.mLastEvent <= mOptions.mWatchSilenceLimit) {
    return;
  }
  aOut.push_back(effect::RecordTimeline{ "configuration_watch_silent", {} });
  CloseWatch(aOut);
  mWatch.mNext =
    aNow + Backoff(kMinWatchDelay, kMaxWatchDelay, mWatch.mFailures);
  ++mWatch.mFailures;
  mReads.mNext = aNow;
}

void Configuration::CloseWatch(EffectList& aOut)
{
  if (mWatch.mCall != 0) {
    aOut.push_back(
      effect::CancelWatch{ { Component::Configuration, mWatch.mCall } });
  }
  mWatch.mCall = 0;
  mWatch.mEstablished = false;
}

void Configuration::StartRead(TimePoint aNow, EffectList& aOut)
{
  mReads.mCall = NextCall();
  mReads.mSince = aNow;
  effect::CallStore call;
  call.mCall = { Component::Configuration, mReads.mCall };
  StoreTxn& txn = call.mRequest.mTxn.emplace();
  // Once the record is known, a comparison of its revision shows whether it is
  // still the newest, without transferring the document.
  if (mRoot) {
    txn.mCompares.push_back({ RootKey(), mRoot->mModRevision });
  } else {
    txn.mReads.push_back({ .mKey = RootKey(), .mRangeEnd = {} });
  }
  aOut.push_back(std::move(call));
}

void Configuration::OnStoreReply(const event::StoreReplied& aReply,
                                 TimePoint aNow,
                                 EffectList& aOut)
{
  const std::uint64_t call = aReply.mCall.mNumber;
  if (call == mReads.mCall && call != 0) {
    OnRead(aReply, aNow, aOut);
    return;
  }
  for (auto it = mEdits.begin(); it != mEdits.end(); ++it) {
    if (it->second.mCall == call) {
      OnEditReply(it, aReply, aNow, aOut);
      return;
    }
  }
}

void Configuration::OnRead(const event::StoreReplied& aReply,
                           TimePoint aNow,
                           EffectList& aOut)
{
  mReads.mCall = 0;
  if (!aReply.mReply) {
    mReads.mNext =
      aNow + Backoff(kPollInterval, kMaxReadDelay, mReads.mFailures);
    ++mReads.mFailures;
    return;
  }
  mReads.mFailures = 0;
  mReads.mAnswered = true;
  mReads.mNext = aNow + Jitter(kPollInterval);
  const StoreReply& reply = *aReply.mReply;
  if (mRoot && !reply.mSucceeded) {
    mRoot.reset();
    StartRead(aNow, aOut);
    return;
  }
  if (!mRoot && !ReadRoot(FindRoot(reply.mEntries), aNow, aOut)) {
    return;
  }
  ConfirmRoot(*mRoot, mReads.mSince, aOut);
  if (mIsWatcher && mWatch.mCall == 0 && aNow >= mWatch.mNext) {
    OpenWatch(reply.mStoreRevision + 1, aNow, aOut);
  }
}

void Configuration::OpenWatch(std::int64_t aFrom,
                              TimePoint aNow,
                              EffectList& aOut)
{
  mWatch.mCall = NextCall();
  mWatch.mLastEvent = aNow;
  mWatch.mEstablished = false;
  aOut.push_back(
    effect::WatchStore{ .mWatch = { Component::Configuration, mWatch.mCall },
                        .mKey = RootKey(),
                        .mRangeEnd = {},
                        .mFromRevision = aFrom });
}

void Configuration::OnWatch(const event::StoreWatchFired& aEvent,
                            TimePoint aNow,
                            EffectList& aOut)
{
  // Events of a cancelled watch may still arrive.
  if (aEvent.mWatch.mNumber != mWatch.mCall || mWatch.mCall == 0) {
    return;
  }
  mWatch.mLastEvent = aNow;
  mWatch.mEstablished = true;
  mWatch.mFailures = 0;
  if (aEvent.mEntries.empty()) {
    if (IsConfirmed()) {
      mStoreContact = aNow;
    }
    return;
  }
  if (ReadRoot(FindRoot(aEvent.mEntries), aNow, aOut) && IsConfirmed()) {
    ConfirmRoot(*mRoot, aNow, aOut);
    return;
  }
  // A watch may lag behind what peers reported, so an event with an older
  // revision does not show the store's current state. A read does.
  mRoot.reset();
  mReads.mNext = aNow;
}

bool Configuration::IsConfirmed() const
{
  return mRoot && (mRoot->mVersion == Version() || mStoreBehind);
}

bool Configuration::ReadRoot(const StoreEntry* aEntry,
                             TimePoint aNow,
                             EffectList& aOut)
{
  ConfigurationRecord record;
  StoreRoot root;
  if (aEntry && aEntry->mModRevision != 0 && !aEntry->mValue.empty()) {
    auto decoded = DecodeRecord(aEntry->mValue);
    if (!decoded) {
      aOut.push_back(
        effect::RecordTimeline{ "configuration_record_damaged",
                                { { "error", decoded.error().mMessage } } });
      return false;
    }
    record = std::move(*decoded);
    root.mModRevision = aEntry->mModRevision;
    root.mVersion = record.mVersion;
  }
  mRoot = root;
  Activate(root.mVersion, record.mDocument, "store", aNow, aOut);
  return true;
}

bool Configuration::IsBehind(const ConfigurationVersion& aStored) const
{
  return aStored.mRevision < mCurrent->mRevision ||
         (aStored.mRevision > Revision() &&
          aStored.mRevision == mCurrent->mRevision && aStored != Version());
}

void Configuration::ConfirmRoot(const StoreRoot& aRoot,
                                TimePoint aAfter,
                                EffectList& aOut)
{
  if (aRoot.mVersion.mRevision > mCurrent->mRevision) {
    // The stored configuration could not be activated. The store holds newer
    // keys than the active ones, so this contact does not confirm them.
    return;
  }
  // A store that was restored from a backup still counts as a contact: no VM
  // with a newer configuration accepts an edit in the meantime, so refusing all
  // keys until an operator intervenes would only harm callers.
  mStoreContact = std::max(mStoreContact.value_or(aAfter), aAfter);
  if (!IsBehind(aRoot.mVersion)) {
    mStoreBehind.reset();
  } else if (aAfter >= mInForceSince) {
    ReportStoreBehind(aRoot.mVersion, aOut);
  }
}

} // namespace cranberrywing
