/// \file
/// Test fixture: a gateway with four backend servers of one service and two
/// routes, to which tests deliver events one by one.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway::testing {

inline const std::string kHost = "shop.example";
inline const std::string kKey = "key-of-shops";

/// Time advances only through Advance. Not thread-safe.
class GatewayFixture
{
public:
  struct Options
  {
    /// VmRecord::mLinkMbps of the gateway.
    double mLinkMbps = 0;
    bool mPlacesObjects = true;
  };

  GatewayFixture()
    : GatewayFixture(Options{})
  {
  }

  explicit GatewayFixture(Options aOptions)
    : mGateway({ .mSelf = { .mVm = VmId("vm-1"),
                            .mIncarnation = { 7 },
                            .mRegion = RegionId("near"),
                            .mFailureDomain = FailureDomainId("near-a"),
                            .mAddress = "10.0.0.1",
                            .mCallerPort = 80,
                            .mPeerPort = 81,
                            .mLinkMbps = aOptions.mLinkMbps },
                 .mRetries = { .mAllowance = 50 },
                 .mColdStart = { .mOvershoot = 1.5, .mSlack = 5 },
                 .mPlacesObjects = aOptions.mPlacesObjects })
  {
    SetPolicy(1);
    for (int n = 0; n < 4; ++n) {
      Register("s" + std::to_string(n));
    }
    Deliver(event::RegistrationsComplete{});
    Advance(std::chrono::milliseconds(300));
  }

  /// An idempotent route (/prices/) and a non-idempotent one (/orders/), with
  /// at most two attempts each.
  PolicyContent Content(std::uint64_t aRevision) const
  {
    PolicyContent content;
    content.mRevision = { aRevision };
    content.mServices = { { .mService = ServiceId("ordering"),
                            .mHealthPath = "/health",
                            .mColdRate = 7 } };
    const auto route =
      [](const char* aName, const char* aPrefix, bool aIsIdempotent) {
        RoutePolicy policy;
        policy.mRoute = RouteId(aName);
        policy.mHost = kHost;
        policy.mPrefix = aPrefix;
        policy.mIsIdempotent = aIsIdempotent;
        policy.mTimeout = std::chrono::seconds(1);
        policy.mTargetLatency = std::chrono::milliseconds(400);
        policy.mPriority = 1;
        policy.mServices = { { ServiceId("ordering"), 1 } };
        policy.mMaxAttempts = 2;
        policy.mIsSticky = true;
        return policy;
      };
    content.mRoutes = { route("prices", "/prices/", true),
                        route("orders", "/orders/", false) };
    content.mAccounts = { { .mAccount = AccountId("shops"),
                            .mKeys = { kKey } } };
    return content;
  }

  void SetPolicy(std::uint64_t aRevision) { SetPolicy(Content(aRevision)); }

  void SetPolicy(PolicyContent aContent)
  {
    Deliver(event::PolicyReceived{ Policy::Make(std::move(aContent)) });
  }

  void Register(const std::string& aName,
                bool aIsDraining = false,
                std::int64_t aStartedMs = 0)
  {
    Deliver(event::BackendRegistered{
      { .mBackend = BackendId(aName),
        .mService = ServiceId("ordering"),
        .mAddress = "10.1.0.1",
        .mPort = static_cast<std::uint16_t>(9000 + aName.back()),
        .mFailureDomain = FailureDomainId("near-a"),
        .mRegion = RegionId("near"),
        .mSlots = 4,
        .mIsDraining = aIsDraining,
        .mStartedMs = aStartedMs } });
  }

  /// Delivers an event and returns its effects.
  EffectList& Deliver(Event aEvent)
  {
    mLastEffects = mGateway.Reduce(aEvent, mNow);
    return mLastEffects;
  }

  /// Advances the time and delivers a Tick.
  EffectList& Advance(Duration aTime)
  {
    mNow += aTime;
    return Deliver(event::Tick{});
  }

  /// Delivers a caller's request and returns its identifier; the effects are in
  /// mLastEffects.
  RequestId Request(const std::string& aPath,
                    const std::string& aKey = kKey,
                    const std::string& aObject = "o")
  {
    const RequestId id{ mNextRequest++ };
    Deliver(event::RequestArrived{
      .mRequest = id,
      .mContent = std::make_shared<const RequestContent>(
        RequestContent{ .mMethod = "POST", .mTarget = aPath }),
      .mHost = kHost,
      .mKey = aKey,
      .mObject = aObject,
      .mTimeBudget = std::chrono::seconds(3) });
    return id;
  }

  /// The first of the last effects that has the given type, or null.
  template<class Kind>
  const Kind* FindEffect() const
  {
    for (const Effect& effect : mLastEffects) {
      if (const auto* const found = std::get_if<Kind>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  void Reply(const effect::Dispatch& aDispatch,
             event::ReplyKind aKind,
             std::uint32_t aStatus)
  {
    Deliver(
      event::BackendReplied{ .mRequest = aDispatch.mRequest,
                             .mAttempt = aDispatch.mAttempt,
                             .mKind = aKind,
                             .mAnswer = std::make_shared<const AnswerContent>(
                               AnswerContent{ .mStatus = aStatus }),
                             .mLatency = std::chrono::milliseconds(100) });
  }

  void Fail(const effect::Dispatch& aDispatch,
            event::FailureStage aStage,
            event::FailureKind aKind)
  {
    Deliver(event::BackendFailed{ .mRequest = aDispatch.mRequest,
                                  .mAttempt = aDispatch.mAttempt,
                                  .mStage = aStage,
                                  .mKind = aKind });
  }

  /// Lets all attempts of the last effects to connect to a server fail, but for
  /// checks of aReachable, and those that follow from it.
  void RefuseConnections(const BackendId& aReachable = {})
  {
    const EffectList effects = mLastEffects;
    for (const Effect& effect : effects) {
      if (const auto* const sent = std::get_if<effect::Dispatch>(&effect)) {
        Fail(*sent,
             event::FailureStage::BeforeFirstByte,
             event::FailureKind::Connect);
        RefuseConnections(aReachable);
      } else if (const auto* const probe =
                   std::get_if<effect::ProbeBackend>(&effect)) {
        Deliver(event::BackendProbed{ .mBackend = probe->mBackend });
      } else if (const auto* const check =
                   std::get_if<effect::CheckServer>(&effect)) {
        Deliver(
          event::ServerChecked{ .mBackend = check->mBackend,
                                .mIsReached = check->mBackend == aReachable });
      }
    }
  }

  TimePoint mNow{ std::chrono::seconds(1000) };
  std::uint64_t mNextRequest = 1;
  EffectList mLastEffects;
  Gateway mGateway;
};

} // namespace cranberrywing::gateway::testing
