/// \file
/// Which VM owns which slot of non-idempotent executions (design 3.4). The
/// store's record of owner and epoch decides; a lease only tells liveness.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

struct SlotOwner
{
  VmIncarnation mProcess;
  std::uint64_t mEpoch = 0;

  bool operator==(const SlotOwner&) const = default;
};

struct SlotTableHooks
{
  std::function<bool(const VmIncarnation&)> mIsDead;
  std::function<bool(const VmId&)> mIsUsable;
  /// Usable VMs with their failure domains, this VM included.
  std::function<std::vector<std::pair<VmId, FailureDomainId>>()> mCandidates;
  /// This process became the owner in the given epoch. Executions must load
  /// the slot's claims before it runs anything.
  std::function<void(std::uint32_t, std::uint64_t, TimePoint, EffectList&)>
    mOnAcquired;
  /// This process is the owner no longer.
  std::function<void(std::uint32_t, TimePoint, EffectList&)> mOnLost;
};

/// Not thread-safe; owned by the reducer.
class SlotTable
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    std::string mStorePrefix = "/cw/slots/";
    Duration mLeaseTime = std::chrono::seconds(3);
  };

  SlotTable(Options aOptions, SlotTableHooks aHooks);

  void Apply(const SettingsSnapshot& aSettings);
  std::uint32_t SlotCount() const;
  /// Owner as last read from the store, or nullopt.
  std::optional<SlotOwner> Owner(std::uint32_t aSlot) const;
  /// Whether this process owns the slot, as far as it knows.
  bool IsOwner(std::uint32_t aSlot) const;
  /// Store key of a slot's record, to be compared in fenced transactions, and
  /// the record's mod revision as last known to this owner.
  StoreCompare Fence(std::uint32_t aSlot) const;
  /// A fenced transaction failed: reads the record again.
  void OnFenceFailed(std::uint32_t aSlot, TimePoint aNow, EffectList& aOut);

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnWatch(const event::StoreWatchFired& aEvent,
               TimePoint aNow,
               EffectList& aOut);
  void OnDeath(const VmIncarnation& aProcess, TimePoint aNow, EffectList& aOut);
  /// Hands the slots to other VMs, for a planned stop.
  void ReleaseAll(TimePoint aNow, EffectList& aOut);
  bool IsReleased() const;

private:
  Options mOptions;
  SlotTableHooks mHooks;
};

} // namespace cranberrywing
