// Reading and watching the store's root record.

#include "cranberrywing/configuration.h"

namespace cranberrywing {

namespace {

using std::chrono::seconds;

/// Cost of following the store is bounded by deciding this often only.
constexpr Duration kFollowInterval = Milliseconds(100);

/// Spreads the first reads of VMs that start together.
constexpr Duration kStartSpread = Milliseconds(200);

/// Between reads while there is no working watch. Must leave room for two
/// failed reads inside the isolation limit of 5 s.
constexpr Duration kPollInterval = seconds(1);

/// A call without any reply counts as lost after this time. The driver's own
/// timeout is shorter.
constexpr Duration kCallTimeout = seconds(5);

constexpr Duration kMostReadDelay = seconds(4);

/// Between attempts to watch after silent watches.
constexpr Duration kFirstWatchDelay = seconds(3);
constexpr Duration kMostWatchDelay = seconds(30);

/// The store's state as seen in a reply to a read or in a watch.
const StoreEntry* FindRoot(const std::vector<StoreEntry>& aEntries)
{
  return aEntries.empty() ? nullptr : &aEntries.back();
}

} // namespace

void Configuration::FollowStore(TimePoint aNow, EffectList& aOut)
{
  if (aNow < mNextFollow) {
    return;
  }
  if (mNextFollow == TimePoint()) {
    mReads.mNext = aNow + Jitter(kStartSpread * 2) - kStartSpread;
  }
  mNextFollow = aNow + kFollowInterval;
  mIsWatcher = mHooks.mIsWatcher();
  if (!mIsWatcher) {
    CloseWatch(aOut);
  }
  CheckWatch(aNow, aOut);

  if (mReads.mCall != 0 && aNow - mReads.mSince > kCallTimeout) {
    mReads.mCall = 0;
    ++mReads.mFailures;
  }
  const bool needsPeers = !mIsWatcher && !mHeardVersion && !mReads.mAnswered &&
                          aNow - mStarted >= mOptions.mPeerWait;
  const bool needsReads = mIsWatcher && !(mWatch.mProven && IsConfirmed());
  if ((needsPeers || needsReads) && mReads.mCall == 0 && aNow >= mReads.mNext) {
    StartRead(aNow, aOut);
  }
}

void Configuration::CheckWatch(TimePoint aNow, EffectList& aOut)
{
  if (mWatch.mCall == 0 ||
      aNow - mWatch.mLastHeard <= mOptions.mWatchSilenceLimit) {
    return;
  }
  aOut.push_back(effect::RecordTimeline{ "configuration_watch_silent", {} });
  CloseWatch(aOut);
  mWatch.mNext =
    aNow + Backoff(kFirstWatchDelay, kMostWatchDelay, mWatch.mFailures);
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
  mWatch.mProven = false;
}

void Configuration::StartRead(TimePoint aNow, EffectList& aOut)
{
  mReads.mCall = NextCall();
  mReads.mSince = aNow;
  effect::CallStore call;
  call.mCall = { Component::Configuration, mReads.mCall };
  StoreTxn& txn = call.mRequest.mTxn.emplace();
  // Once the record is known, a comparison alone tells whether it still is
  // the newest, without moving the document.
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
      aNow + Backoff(kPollInterval, kMostReadDelay, mReads.mFailures);
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
  mWatch.mLastHeard = aNow;
  mWatch.mProven = false;
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
  // Events of a replaced watch may still be on their way.
  if (aEvent.mWatch.mNumber != mWatch.mCall || mWatch.mCall == 0) {
    return;
  }
  mWatch.mLastHeard = aNow;
  mWatch.mProven = true;
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
  // A watch may lag behind what peers told, so that an event with an older
  // revision says nothing of the store's state now. A read does.
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
  Take(root.mVersion, record.mDocument, "store", aNow, aOut);
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
    // Unusable here: the store holds newer keys than those in force, so that
    // this contact confirms nothing.
    return;
  }
  // A store that was restored from a backup counts as a contact: no VM that
  // knows better accepts a change meanwhile, and refusing all keys until an
  // operator comes would harm callers for nothing.
  mStoreContact = std::max(mStoreContact.value_or(aAfter), aAfter);
  if (!IsBehind(aRoot.mVersion)) {
    mStoreBehind.reset();
  } else if (aAfter >= mInForceSince) {
    ReportStoreBehind(aRoot.mVersion, aOut);
  }
}

} // namespace cranberrywing
