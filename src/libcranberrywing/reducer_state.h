/// \file
/// The reducer's state: its components and the callbacks between them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cranberrywing/reducer.h"

namespace cranberrywing {

/// Owns the components. Not thread-safe; see Reducer.
class Reducer::State
{
public:
  explicit State(Options aOptions);

  void Start(TimePoint aNow, EffectList& aOut);
  /// Dispatches the event, then processes the work that components deferred.
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

  /// The holders of an account's rate, as of the last update.
  struct AccountShare
  {
    /// Holders other than this VM, those of this VM's region first.
    std::vector<VmId> mPeers;
    std::size_t mHolderCount = 1;
    /// Whether this VM is a holder.
    bool mIsHolder = false;
    /// Since when this VM has not been a holder.
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

  /// Processes versions and deaths queued by membership's callbacks, and
  /// applies new settings.
  void ProcessDeferred(TimePoint aNow, EffectList& aOut);
  void ApplySettings(TimePoint aNow, EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  void UpdateShares(TimePoint aNow);
  void UpdateAccountShare(const AccountId& aAccount,
                          const AccountSettings& aSettings,
                          TimePoint aNow);
  void UpdateCapacityShares(TimePoint aNow);
  /// VMs that hold a fraction of the account's rate, those of this VM's region
  /// first.
  std::vector<VmId> ShareHolders(const AccountSettings& aAccount) const;
  /// Sends what is new in the crash guard to all members, and repeats blocked
  /// requests to one after the other.
  void SendRequestBlocks(TimePoint aNow, EffectList& aOut);
  bool IsCurrent(TimePoint aNow) const;
  bool MayAcceptEdits(TimePoint aNow) const;
  Duration LongestDeadline() const;
  std::size_t ExpectedHolders(const std::string& aName) const;
  std::vector<SteeringTarget> SteeringTargets() const;

  // reducer_reach.cpp
  void OnHealthReported(const event::HealthReported& aEvent,
                        TimePoint aNow,
                        EffectList& aOut);
  void OnServerReachStatus(const VmIncarnation& aFrom,
                           const message::ServerReachStatus& aMessage,
                           TimePoint aNow);
  /// Starts a round of checks if one is due, and tells other VMs of a loss.
  void CheckServerReach(TimePoint aNow, EffectList& aOut);
  /// Whether the member has lost its links to all backend servers.
  bool IsCutOff(const Member& aMember) const;
  /// Whether work should go to other VMs: the links of this VM, or of the
  /// member, to all backend servers are lost, and other usable VMs reach
  /// servers.
  bool IsAvoided() const;
  bool IsAvoided(const Member& aMember) const;
  /// Whether this VM or any other usable one reaches backend servers.
  bool IsAnyReaching() const;

  std::vector<std::pair<VmId, FailureDomainId>> SlotCandidates() const;
  std::optional<VmId> CopyHolder(std::uint32_t aSlot) const;
  std::vector<VmId> RatePeers(const AccountId& aAccount) const;
  static std::string AccountShareName(const AccountId& aAccount);
  std::string CapacityShareName(const ServiceId& aService) const;
  std::vector<VmId> OtherRegionPeers();
  std::vector<VmId> RegionPeers() const;

  Options mOptions;
  TimePoint mNow{};
  /// Queued by membership's callbacks, which have no effect list.
  std::vector<PendingVersion> mPendingVersions;
  std::vector<VmIncarnation> mDeaths;
  SettingsSnapshotPtr mAppliedSettings;
  std::map<AccountId, AccountShare> mAccountShares;
  std::size_t mRegionVmCount = 1;
  TimePoint mStartedAt{};
  TimePoint mNextShareUpdate{};
  TimePoint mNextTargetUpdate{};
  /// Servers whose check in the current round has no result yet.
  std::set<BackendId> mPendingReachChecks;
  /// Other processes that reach no backend server, and until when their
  /// statements hold.
  std::map<VmIncarnation, TimePoint> mCutOffPeers;

  KeyTable mKeys;
  CrashGuard mCrashGuard;
  /// Counts the members to which blocked requests were repeated.
  std::size_t mNextBlockReceiver = 0;
  RetryPolicy mRetries;
  BackendHealth mHealth;
  ServerReach mReach;
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
