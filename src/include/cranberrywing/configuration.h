/// \file
/// Keeps this VM on the newest configuration known to the store or to any peer
/// (design 3.1). The active configuration is only ever replaced by one of a
/// higher revision.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/configuration_record.h"
#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Callbacks through which Configuration reads the state of the fleet. They
/// keep it independent of Membership.
struct ConfigurationHooks
{
  /// Whether this VM watches the store on behalf of its failure domain.
  std::function<bool()> mIsWatcher;
  /// Returns up to the given number of random live peers.
  std::function<std::vector<VmId>(std::size_t)> mPickPeers;
  /// Number of live members, this VM included.
  std::function<std::size_t()> mMemberCount;
};

/// Not thread-safe; owned by the reducer.
class Configuration
{
public:
  struct Options
  {
    /// Prefix of this deployment's keys in the store.
    std::string mStorePrefix = "/cw/";
    /// Document that is active until the store or a peer supplies a newer one;
    /// may be empty. It has revision zero, so any accepted revision replaces
    /// it.
    std::string mInitialDocument;
    Duration mWatchSilenceLimit = std::chrono::seconds(3);
    std::size_t mHistoryLength = 50;
    /// Time for which a VM that does not watch the store waits for a
    /// configuration from its peers before it reads the store itself.
    Duration mPeerWait = std::chrono::seconds(2);
    /// Time after which an edit fails with StoreUnavailable or OutcomeUnknown.
    Duration mEditTimeout = std::chrono::seconds(10);
    /// Seed of the retry jitter; should differ between VMs.
    std::uint64_t mSeed = 1;
  };

  Configuration(Options aOptions, ConfigurationHooks aHooks);

  /// The active configuration; never null, but it may have revision zero and be
  /// empty.
  const SettingsSnapshotPtr& Current() const { return mCurrent; }
  ConfigurationVersion Version() const;
  /// The active document, in YAML.
  const std::string& Document() const { return mDocument; }

  /// Time since the store last confirmed the newest revision directly to this
  /// VM; nullopt if it never did.
  std::optional<Duration> StoreContactAge(TimePoint aNow) const;

  /// Whether the store was last seen with an older or a different configuration
  /// than the active one, as after a restore from a backup. Edits are refused
  /// while this holds.
  bool IsStoreBehind() const { return mStoreBehind.has_value(); }

  /// Activates the initial document and starts reading the store.
  void Start(TimePoint aNow, EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);

  void OnPeerVersion(const VmId& aFrom,
                     const ConfigurationVersion& aVersion,
                     TimePoint aNow,
                     EffectList& aOut);
  void OnMessage(const VmId& aFrom,
                 const message::ConfigurationRequest& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmId& aFrom,
                 const message::ConfigurationBody& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnWatch(const event::StoreWatchFired& aEvent,
               TimePoint aNow,
               EffectList& aOut);

  /// Starts writing a new document to the store. Each edit ends in exactly one
  /// AnswerEdit effect with one of the codes Ok, RevisionConflict,
  /// InvalidSettings, NotAccepted, StoreUnavailable or OutcomeUnknown.
  void OnEdit(const event::EditRequested& aEvent,
              TimePoint aNow,
              EffectList& aOut);

private:
  /// A document that was active recently, kept as a base of deltas.
  struct CachedDocument
  {
    ConfigurationVersion mVersion;
    std::string mDocument;
  };

  /// The document being fetched from a peer.
  struct Fetch
  {
    ConfigurationVersion mVersion;
    VmId mFrom;
    TimePoint mSince{};
    /// Whether the request was for the full document rather than a delta.
    bool mFullDocument = false;
  };

  /// A peer that is known to have a newer configuration.
  struct NewerPeer
  {
    VmId mVm;
    ConfigurationVersion mVersion;
  };

  /// Reads of the root record.
  struct StoreReads
  {
    /// Zero if no read is in progress.
    std::uint64_t mCall = 0;
    TimePoint mSince{};
    TimePoint mNext{};
    std::uint32_t mFailures = 0;
    /// Whether any read has succeeded since the start.
    bool mAnswered = false;
  };

  /// The watch on the root record.
  struct StoreWatch
  {
    /// Zero if there is no watch.
    std::uint64_t mCall = 0;
    TimePoint mLastEvent{};
    /// Whether the watch has delivered any event yet.
    bool mEstablished = false;
    /// Earliest time to open a new watch after one that went silent.
    TimePoint mNext{};
    std::uint32_t mFailures = 0;
  };

  /// The root record as last read.
  struct StoreRoot
  {
    std::int64_t mModRevision = 0;
    ConfigurationVersion mVersion;
  };

  enum class EditStage : std::uint8_t
  {
    /// Reading the root record, before a write or to find out whether a write
    /// whose reply was lost took effect.
    Read,
    Write,
    /// Waiting until mNext to read again.
    Wait,
  };

  struct PendingEdit
  {
    AdminRequestId mRequest{};
    SettingsEdit mEdit;
    EditStage mStage = EditStage::Read;
    std::uint64_t mCall = 0;
    TimePoint mSent{};
    TimePoint mDeadline{};
    TimePoint mNext{};
    std::uint32_t mFailures = 0;
    /// Whether a write was sent whose outcome is unknown.
    bool mMayHaveWritten = false;
    /// The record to write and the modification revision of the root record
    /// that it replaces.
    ConfigurationRecord mRecord;
    std::int64_t mModRevision = 0;
  };

  using EditMap = std::map<std::uint64_t, PendingEdit>;

  std::string RootKey() const;
  std::uint64_t NextCall() { return ++mLastCall; }
  /// Returns a random duration in [aDelay / 2, aDelay].
  Duration Jitter(Duration aDelay);
  Duration Backoff(Duration aMinDelay,
                   Duration aMaxDelay,
                   std::uint32_t aFailures);

  // Activation (configuration.cpp).
  bool Activate(const ConfigurationVersion& aVersion,
                const std::string& aDocument,
                std::string_view aSource,
                TimePoint aNow,
                EffectList& aOut);
  void OfferToPeers(EffectList& aOut);
  void CacheDocument();

  // Exchange with peers (configuration_peers.cpp).
  void FetchFromNewestPeer(TimePoint aNow, EffectList& aOut);
  void SendFetch(bool aFullDocument, TimePoint aNow, EffectList& aOut);
  void RemoveNewerPeer(const VmId& aVm);
  void CheckFetch(TimePoint aNow, EffectList& aOut);
  const std::string* FindCachedDocument(
    const ConfigurationVersion& aVersion) const;

  // Synchronization with the store (configuration_store.cpp).
  void SyncWithStore(TimePoint aNow, EffectList& aOut);
  void CheckWatch(TimePoint aNow, EffectList& aOut);
  void StartRead(TimePoint aNow, EffectList& aOut);
  void OnRead(const event::StoreReplied& aReply,
              TimePoint aNow,
              EffectList& aOut);
  void OpenWatch(std::int64_t aFrom, TimePoint aNow, EffectList& aOut);
  void CloseWatch(EffectList& aOut);
  /// Decodes the root record into mRoot and activates it if it is newer. Null
  /// stands for an absent record. Returns false if the record is corrupt.
  bool ReadRoot(const StoreEntry* aEntry, TimePoint aNow, EffectList& aOut);
  /// Whether the root record as last read is the active configuration, or is
  /// known to be older although it is the newest that the store has.
  bool IsConfirmed() const;
  /// Records that the store held the given root record at some time after
  /// aAfter.
  void ConfirmRoot(const StoreRoot& aRoot, TimePoint aAfter, EffectList& aOut);
  bool IsBehind(const ConfigurationVersion& aStored) const;
  void ReportStoreBehind(const ConfigurationVersion& aStore, EffectList& aOut);

  // Edits (configuration_edits.cpp).
  void ReadForEdit(PendingEdit& aEdit, TimePoint aNow, EffectList& aOut);
  void WriteEdit(PendingEdit& aEdit, TimePoint aNow, EffectList& aOut);
  void OnEditReply(EditMap::iterator aEdit,
                   const event::StoreReplied& aReply,
                   TimePoint aNow,
                   EffectList& aOut);
  void OnEditRoot(EditMap::iterator aEdit,
                  const StoreReply& aReply,
                  TimePoint aNow,
                  EffectList& aOut);
  void ResolveEdit(EditMap::iterator aEdit,
                   const StoreRoot& aRoot,
                   const ConfigurationRecord& aRecord,
                   TimePoint aNow,
                   EffectList& aOut);
  void BeginWrite(EditMap::iterator aEdit,
                  const StoreRoot& aRoot,
                  const ConfigurationRecord& aRecord,
                  TimePoint aNow,
                  EffectList& aOut);
  void AnswerEdit(EditMap::iterator aEdit,
                  ResultCode aCode,
                  Revision aRevision,
                  std::string aMessage,
                  EffectList& aOut);
  void CheckEdits(TimePoint aNow, EffectList& aOut);

  Options mOptions;
  ConfigurationHooks mHooks;
  std::mt19937_64 mRandom;
  std::uint64_t mLastCall = 0;

  SettingsSnapshotPtr mCurrent;
  std::string mDocument;
  TimePoint mInForceSince{};
  std::vector<CachedDocument> mCachedDocuments;
  /// Last version that could not be parsed here; it is not tried again.
  ConfigurationVersion mRejectedVersion;

  std::optional<Fetch> mFetch;
  std::vector<NewerPeer> mNewerPeers;
  /// The last delta computed, cached because several peers request the same
  /// one.
  message::ConfigurationBody mLastDelta;

  TimePoint mStarted{};
  TimePoint mNextSync{};
  bool mIsWatcher = false;
  bool mPeerVersionSeen = false;
  StoreReads mReads;
  StoreWatch mWatch;
  std::optional<StoreRoot> mRoot;
  std::optional<TimePoint> mStoreContact;
  /// The store's version while it is behind the active one.
  std::optional<ConfigurationVersion> mStoreBehind;

  EditMap mEdits;
};

} // namespace cranberrywing
