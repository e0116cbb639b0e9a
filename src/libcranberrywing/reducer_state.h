/// \file
/// The reducer's state: one of each concern and the hooks between them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
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
  struct EventVisitor;

  struct PendingVersion
  {
    VmId mFrom;
    ConfigurationVersion mVersion;
  };

  /// Who shares an account's rate, as of the last review.
  struct AccountShare
  {
    /// Holders in all regions, those of the own region first; without this
    /// VM.
    std::vector<VmId> mPeers;
    std::size_t mHolders = 1;
    bool mIsHolder = false;
    /// Since when this VM has been outside the account's subset.
    std::optional<TimePoint> mNotHolderSince;
  };

  ConfigurationHooks MakeConfigurationHooks();
  MembershipHooks MakeMembershipHooks();
  ShareLedgerHooks MakeLedgerHooks();
  RateLimiterHooks MakeRateHooks();
  SlotTableHooks MakeSlotHooks();
  ExecutionsHooks MakeExecutionHooks();
  OfferBookHooks MakeOfferHooks();
  std::function<std::optional<double>(const ServiceId&, TimePoint)>
  MakeUtilizationHook();
  ShiftHooks MakeShiftHooks();
  SteeringHooks MakeSteeringHooks();
  PipelineHooks MakePipelineHooks();
  DrainHooks MakeDrainHooks();

  void ProcessDeferred(TimePoint aNow, EffectList& aOut);
  void ApplySettings(TimePoint aNow, EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  void UpdateShares(TimePoint aNow);
  void UpdateAccountShare(const AccountId& aAccount,
                          const AccountSettings& aSettings,
                          TimePoint aNow);
  void UpdateCapacityShares(TimePoint aNow);
  /// VMs that hold a fraction of the account's rate, the own region's first.
  std::vector<VmId> ShareHolders(const AccountSettings& aAccount) const;
  void SendRequestBlocks(EffectList& aOut);
  bool IsCurrent(TimePoint aNow) const;
  bool MayAcceptEdits(TimePoint aNow) const;
  Duration LongestDeadline() const;
  std::size_t ExpectedHolders(const std::string& aName) const;
  std::vector<SteeringTarget> Targets() const;
  std::vector<std::pair<VmId, FailureDomainId>> Candidates() const;
  std::optional<VmId> CopyHolder(std::uint32_t aSlot) const;
  std::vector<VmId> RatePeers(const AccountId& aAccount) const;
  static std::string AccountShareName(const AccountId& aAccount);
  std::string CapacityShareName(const ServiceId& aService) const;
  std::vector<VmId> OtherRegionPeers();
  std::vector<VmId> RegionPeers() const;

  Options mOptions;
  TimePoint mNow{};
  /// Found by membership's hooks, which have no effect list.
  std::vector<PendingVersion> mPendingVersions;
  std::vector<VmIncarnation> mDeaths;
  SettingsSnapshotPtr mApplied;
  std::map<AccountId, AccountShare> mAccountShares;
  std::size_t mRegionSize = 1;
  TimePoint mStartedAt{};
  TimePoint mNextShareUpdate{};
  TimePoint mNextTargetUpdate{};

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
