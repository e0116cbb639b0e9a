/// \file
/// Dispatch of events and peer messages to the reducer's components.
#pragma once

#include "reducer_state.h"

namespace cranberrywing {

/// Visitor that dispatches each event and peer message to its component.
struct Reducer::State::EventVisitor
{
  State& mState;
  TimePoint mNow;
  EffectList& mOut;

  void operator()(const event::Tick&) { mState.Tick(mNow, mOut); }
  void operator()(const event::RequestArrived& aEvent)
  {
    mState.mRequests.OnRequest(aEvent, mNow, mOut);
  }
  void operator()(const event::RequestCancelled& aEvent)
  {
    mState.mRequests.OnCancelled(aEvent, mNow, mOut);
  }
  void operator()(const event::BackendResponded& aEvent)
  {
    mState.mRequests.OnResponded(aEvent, mNow, mOut);
  }
  void operator()(const event::BackendFailed& aEvent)
  {
    if (aEvent.mKind == event::FailureKind::Connect) {
      mState.mReach.OnSuspicion(mNow);
    }
    mState.mRequests.OnFailed(aEvent, mNow, mOut);
  }
  void operator()(const event::HealthReported& aEvent)
  {
    mState.OnHealthReported(aEvent, mNow, mOut);
  }
  void operator()(const event::LoadReported& aEvent)
  {
    mState.mHealth.OnLoad(aEvent, mNow);
  }
  void operator()(const event::PeerMessageReceived& aEvent)
  {
    const VmIncarnation& from = aEvent.mFrom;
    std::visit([&](const auto& aMessage) { OnMessage(from, aMessage); },
               aEvent.mMessage);
  }
  void operator()(const event::PeerUnreachable& aEvent)
  {
    mState.mMembership.OnPeerUnreachable(aEvent.mVm, mNow, mOut);
    mState.mRequests.OnPeerUnreachable(aEvent.mVm, mNow, mOut);
  }
  void operator()(const event::StoreReplied& aEvent)
  {
    switch (aEvent.mCall.mComponent) {
      case Component::Configuration:
        mState.mConfiguration.OnStoreReply(aEvent, mNow, mOut);
        return;
      case Component::ShareLedger:
        mState.mShares.OnStoreReply(aEvent, mNow, mOut);
        return;
      case Component::SlotTable:
        mState.mSlots.OnStoreReply(aEvent, mNow, mOut);
        return;
      case Component::Executions:
        mState.mExecutions.OnStoreReply(aEvent, mNow, mOut);
        return;
    }
  }
  void operator()(const event::StoreWatchFired& aEvent)
  {
    if (aEvent.mWatch.mComponent == Component::Configuration) {
      mState.mConfiguration.OnWatch(aEvent, mNow, mOut);
    } else {
      mState.mSlots.OnWatch(aEvent, mNow, mOut);
    }
  }
  void operator()(const event::VmListReceived& aEvent)
  {
    mState.mMembership.OnVmList(aEvent, mNow, mOut);
  }
  void operator()(const event::LookupArrived& aEvent)
  {
    mOut.push_back(mState.mSteering.Lookup(aEvent, mNow));
  }
  void operator()(const event::TicketRequested& aEvent)
  {
    mState.mRequests.OnTicketRequested(aEvent, mNow, mOut);
  }
  void operator()(const event::EditRequested& aEvent)
  {
    if (!mState.MayAcceptEdits(mNow)) {
      mOut.push_back(effect::AnswerEdit{
        .mRequest = aEvent.mRequest,
        .mCode = ResultCode::Isolated,
        .mRevision = mState.mConfiguration.Version().mRevision,
        .mMessage = "this VM reaches no peer, so other VMs could miss the "
                    "change; use another VM" });
      return;
    }
    mState.mConfiguration.OnEdit(aEvent, mNow, mOut);
  }
  void operator()(const event::ShutdownRequested&)
  {
    const Duration lifetime =
      mState.mAppliedSettings ? mState.mAppliedSettings->mFleet.mLookupLifetime
                              : Duration::zero();
    mState.mDrain.Start(lifetime, mState.LongestDeadline(), mNow, mOut);
  }

  void OnMessage(const VmIncarnation&,
                 const message::ConfigurationOffer& aOffer)
  {
    mState.mPendingVersions.push_back({ mFrom, aOffer.mVersion });
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ConfigurationRequest& aMessage)
  {
    mState.mConfiguration.OnMessage(aFrom.mVm, aMessage, mNow, mOut);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ConfigurationBody& aMessage)
  {
    mState.mConfiguration.OnMessage(aFrom.mVm, aMessage, mNow, mOut);
  }
  void OnMessage(const VmIncarnation&, const message::RequestBlock& aMessage)
  {
    mState.mCrashGuard.OnMessage(aMessage, mNow);
  }

  void OnMessage(const VmIncarnation& aFrom,
                 const message::ServerReachStatus& aMessage)
  {
    mState.OnServerReachStatus(aFrom, aMessage, mNow);
  }

  template<class Component, class Content>
  void DeliverTo(Component& aComponent,
                 const VmIncarnation& aFrom,
                 const Content& aMessage)
  {
    aComponent.OnMessage(aFrom, aMessage, mNow, mOut);
  }
  void OnMessage(const VmIncarnation& aFrom, const message::Probe& aMessage)
  {
    DeliverTo(mState.mMembership, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom, const message::ProbeAck& aMessage)
  {
    DeliverTo(mState.mMembership, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ProbeRequest& aMessage)
  {
    DeliverTo(mState.mMembership, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom, const message::Leave& aMessage)
  {
    DeliverTo(mState.mMembership, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::TokenRequest& aMessage)
  {
    DeliverTo(mState.mRates, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::TokenTransfer& aMessage)
  {
    DeliverTo(mState.mRates, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::OfferAnnouncement& aMessage)
  {
    DeliverTo(mState.mOffers, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ReservationRequest& aMessage)
  {
    DeliverTo(mState.mOffers, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ReservationReply& aMessage)
  {
    DeliverTo(mState.mOffers, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ShiftProgress& aMessage)
  {
    DeliverTo(mState.mShifts, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ForwardedRequest& aMessage)
  {
    DeliverTo(mState.mRequests, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ForwardedAnswer& aMessage)
  {
    DeliverTo(mState.mRequests, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::ForwardedRefusal& aMessage)
  {
    DeliverTo(mState.mRequests, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopy& aMessage)
  {
    DeliverTo(mState.mExecutions, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopyAck& aMessage)
  {
    DeliverTo(mState.mExecutions, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::AnswerCopyQuery& aMessage)
  {
    DeliverTo(mState.mExecutions, aFrom, aMessage);
  }
  void OnMessage(const VmIncarnation& aFrom,
                 const message::SlotHandover& aMessage)
  {
    DeliverTo(mState.mExecutions, aFrom, aMessage);
  }

  /// Ignored: gateways are a separate composition of the components, and their
  /// fleet's messages do not concern this one.
  void OnMessage(const VmIncarnation&, const message::GatewayStatus&) {}
  void OnMessage(const VmIncarnation&, const message::StoreQuery&) {}
  void OnMessage(const VmIncarnation&, const message::StoreBeacon&) {}
  void OnMessage(const VmIncarnation&, const message::StoreBeaconWithoutEpoch&)
  {
  }
  void OnMessage(const VmIncarnation&, const message::StoreChangesWithoutEpoch&)
  {
  }
  void OnMessage(const VmIncarnation&, const message::StoreChanges&) {}
  void OnMessage(const VmIncarnation&, const message::RegionDemand&) {}
  void OnMessage(const VmIncarnation&, const message::BackendRateLimits&) {}
  void OnMessage(const VmIncarnation&, const message::BackendsLeaving&) {}
  void OnMessage(const VmIncarnation&, const message::RegionServerLoads&) {}
  void OnMessage(const VmIncarnation&, const message::ObjectDemands&) {}
  void OnMessage(const VmIncarnation&, const message::ObjectPlacements&) {}
  void OnMessage(const VmIncarnation&, const message::BoundDemands&) {}

  VmId mFrom{};
};

} // namespace cranberrywing
