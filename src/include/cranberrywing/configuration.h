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
#include <string>
#include <vector>

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

  /// Puts the initial document in force and starts reading the store.
  void Start(TimePoint aNow, EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);

  void OnVersionHeard(const VmId& aFrom,
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
  SettingsSnapshotPtr mCurrent;
  std::string mDocument;
};

} // namespace cranberrywing
