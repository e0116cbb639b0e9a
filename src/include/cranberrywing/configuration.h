/// \file
/// Follows the newest configuration from the store and from peers (design
/// 3.1). A configuration once in force is only ever replaced by one of a
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

/// What Configuration has to know of the fleet, as hooks so that it depends
/// on no other concern.
struct ConfigurationHooks
{
  /// Whether this VM is one of its failure domain's watchers of the store.
  std::function<bool()> mIsWatcher;
  /// Up to the given number of random live peers.
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
    /// Document in force until the store or a peer gives a newer one; may be
    /// empty. It has revision zero, so any accepted revision replaces it.
    std::string mInitialDocument;
    Duration mWatchSilenceLimit = std::chrono::seconds(3);
    std::size_t mHistoryLength = 50;
    /// Time in which a VM that is no watcher waits for peers before it reads
    /// the store.
    Duration mPeerWait = std::chrono::seconds(2);
    /// Time after which an edit is answered as unavailable or unknown.
    Duration mEditTimeout = std::chrono::seconds(10);
    /// Seed of the jitter of retries; should differ between VMs.
    std::uint64_t mSeed = 1;
  };

  Configuration(Options aOptions, ConfigurationHooks aHooks);

  /// The configuration in force; never null, but possibly of revision zero
  /// and empty.
  const SettingsSnapshotPtr& Current() const { return mCurrent; }
  ConfigurationVersion Version() const;
  /// The document in force, in YAML.
  const std::string& Document() const { return mDocument; }

  /// Age of the freshest own contact in which the store confirmed the newest
  /// revision; nullopt if there was none.
  std::optional<Duration> StoreContactAge(TimePoint aNow) const;

  /// Whether the store was last seen with an older or a different
  /// configuration than the one in force, as after a restore from a backup.
  /// Edits are refused meanwhile.
  bool IsStoreBehind() const { return mStoreBehind.has_value(); }

  /// Puts the initial document in force and starts reading the store.
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

  /// Writes a new document. Ends in one AnswerEdit: Ok, RevisionConflict,
  /// InvalidSettings, NotAccepted, StoreUnavailable or OutcomeUnknown.
  void OnEdit(const event::EditRequested& aEvent,
              TimePoint aNow,
              EffectList& aOut);

private:
  /// A document that was in force, as a base of deltas.
  struct KeptBody
  {
    ConfigurationVersion mVersion;
    std::string mDocument;
  };

  /// The body being fetched from a peer.
  struct Fetch
  {
    ConfigurationVersion mVersion;
    VmId mFrom;
    TimePoint mSince{};
    /// Whether the whole document was asked for, not a delta.
    bool mWhole = false;
  };

  /// A peer that has a newer configuration.
  struct Holder
  {
    VmId mVm;
    ConfigurationVersion mVersion;
  };

  /// Reads of the root record.
  struct StoreReads
  {
    /// Zero if no read is under way.
    std::uint64_t mCall = 0;
    TimePoint mSince{};
    TimePoint mNext{};
    std::uint32_t mFailures = 0;
    /// Whether any read was answered since the start.
    bool mAnswered = false;
  };

  /// The watch on the root record.
  struct StoreWatch
  {
    /// Zero if there is no watch.
    std::uint64_t mCall = 0;
    TimePoint mLastHeard{};
    /// Whether the watch has delivered anything yet.
    bool mProven = false;
    /// Earliest time of the next watch, after a silent one.
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
    /// Reading the root record, before a write or to settle a lost answer.
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
    /// Whether a write was sent whose effect is not known.
    bool mMayHaveWritten = false;
    /// The record to write and the state of the root that it replaces.
    ConfigurationRecord mRecord;
    std::int64_t mModRevision = 0;
  };

  using EditMap = std::map<std::uint64_t, PendingEdit>;

  std::string RootKey() const;
  std::uint64_t NextCall() { return ++mLastCall; }
  /// A time in the half-open range from half the delay to the whole.
  Duration Jitter(Duration aDelay);
  Duration Backoff(Duration aFirst, Duration aMost, std::uint32_t aFailures);

  // Taking a configuration (configuration.cpp).
  bool Take(const ConfigurationVersion& aVersion,
            const std::string& aDocument,
            std::string_view aSource,
            TimePoint aNow,
            EffectList& aOut);
  void OfferToPeers(EffectList& aOut);
  void KeepBody();

  // Bodies from peers (configuration_peers.cpp).
  void StartFetch(TimePoint aNow, EffectList& aOut);
  void SendFetch(bool aWhole, TimePoint aNow, EffectList& aOut);
  void DropHolder(const VmId& aVm);
  void CheckFetch(TimePoint aNow, EffectList& aOut);
  const std::string* FindBody(const ConfigurationVersion& aVersion) const;

  // Following the store (configuration_store.cpp).
  void FollowStore(TimePoint aNow, EffectList& aOut);
  void CheckWatch(TimePoint aNow, EffectList& aOut);
  void StartRead(TimePoint aNow, EffectList& aOut);
  void OnRead(const event::StoreReplied& aReply,
              TimePoint aNow,
              EffectList& aOut);
  void OpenWatch(std::int64_t aFrom, TimePoint aNow, EffectList& aOut);
  void CloseWatch(EffectList& aOut);
  /// Reads the root record, or its absence for null, into mRoot and takes it
  /// if it is newer. False if the record is damaged.
  bool ReadRoot(const StoreEntry* aEntry, TimePoint aNow, EffectList& aOut);
  /// Whether the root as last read is the configuration in force, or is known
  /// to be older although it is the store's newest.
  bool IsConfirmed() const;
  /// Notes that the store held the root after a moment.
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
  void SettleEdit(EditMap::iterator aEdit,
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
  std::vector<KeptBody> mKept;
  /// Newest version that could not be parsed here; not tried again.
  ConfigurationVersion mUnusable;

  std::optional<Fetch> mFetch;
  std::vector<Holder> mHolders;
  /// Last delta made, since several peers ask for the same one.
  message::ConfigurationBody mLastDelta;

  TimePoint mStarted{};
  TimePoint mNextFollow{};
  bool mIsWatcher = false;
  bool mHeardVersion = false;
  StoreReads mReads;
  StoreWatch mWatch;
  std::optional<StoreRoot> mRoot;
  std::optional<TimePoint> mStoreContact;
  /// The store's version while it is behind.
  std::optional<ConfigurationVersion> mStoreBehind;

  EditMap mEdits;
};

} // namespace cranberrywing
