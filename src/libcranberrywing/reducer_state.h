/// \file
/// The reducer's state: one of each concern and the hooks between them.
#pragma once

#include <vector>

#include "cranberrywing/reducer.h"

namespace cranberrywing {

/// Not thread-safe; see Reducer.
class Reducer::State
{
public:
  explicit State(Options aOptions);

  void Start(TimePoint aNow, EffectList& aOut);
  /// Delivers the event, then what follows from it inside the core.
  void Deliver(const Event& aEvent, TimePoint aNow, EffectList& aOut);

  std::int64_t mWallSeconds = 0;

private:
  friend class Reducer;
  struct Delivery;

  struct HeardVersion
  {
    VmId mFrom;
    ConfigurationVersion mVersion;
  };

  ConfigurationHooks MakeConfigurationHooks();
  MembershipHooks MakeMembershipHooks();
  ShareLedgerHooks MakeLedgerHooks();
  RateLimiterHooks MakeRateHooks();
  SlotTableHooks MakeSlotHooks();
  ExecutionsHooks MakeExecutionHooks();
  OfferBookHooks MakeOfferHooks();
  ShiftHooks MakeShiftHooks();
  SteeringHooks MakeSteeringHooks();
  PipelineHooks MakePipelineHooks();
  DrainHooks MakeDrainHooks();

  void Settle(TimePoint aNow, EffectList& aOut);
  void ApplySettings(TimePoint aNow, EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  void ReviewShares(TimePoint aNow);
  void SendBlocks(EffectList& aOut);
  bool IsCurrent(TimePoint aNow) const;
  Duration LongestDeadline() const;
  std::size_t ExpectedHolders(const std::string& aName);
  std::vector<SteeringTarget> Targets() const;
  std::vector<std::pair<VmId, FailureDomainId>> Candidates() const;
  std::optional<VmId> CopyHolder(std::uint32_t aSlot) const;
  std::vector<VmId> RatePeers(const AccountId& aAccount);
  std::vector<VmId> OtherRegionPeers();
  std::vector<VmId> RegionPeers() const;

  Options mOptions;
  TimePoint mNow{};
  /// Found by membership's hooks, which have no effect list.
  std::vector<HeardVersion> mHeard;
  std::vector<VmIncarnation> mDeaths;
  SettingsSnapshotPtr mApplied;
  std::vector<AccountId> mSharedAccounts;
  TimePoint mNextReview{};
  TimePoint mNextTargets{};

  KeyTable mKeys;
  CrashGuard mCrashGuard;
  RetryPolicy mRetries;
  BackendHealth mHealth;
  BackendSelector mSelector;
  FairQueue mQueue;
  Configuration mConfiguration;
  Membership mMembership;
  ShareLedger mShares;
  RateLimiter mRates;
  SlotTable mSlots;
  Executions mExecutions;
  OfferBook mOffers;
  ShiftController mShifts;
  Steering mSteering;
  RequestPipeline mRequests;
  DrainController mDrain;
};

} // namespace cranberrywing
