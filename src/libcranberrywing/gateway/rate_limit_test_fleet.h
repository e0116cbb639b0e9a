/// \file
/// Test fixture: the gateways of one region with backend servers that may name
/// a rate limit, on a virtual clock.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway::testing {

/// Callers send a fixed rate of requests for random objects to random VMs. Each
/// server answers a request after 100 ms. Messages between VMs arrive after one
/// step, or get lost. Not thread-safe.
class RateLimitFleet
{
public:
  static constexpr Duration kStep = std::chrono::milliseconds(25);
  static constexpr Duration kServiceTime = std::chrono::milliseconds(100);

  struct Server
  {
    BackendId mBackend;
    std::optional<double> mLimit;
    TimePoint mLimitedSince{};
    /// Requests and health checks.
    std::vector<TimePoint> mArrivals;
  };

  RateLimitFleet(std::size_t aVms, std::size_t aServers, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t n = 0; n < aServers; ++n) {
      mServers.push_back({ .mBackend = BackendId("s" + std::to_string(n)) });
    }
    mVms.resize(aVms);
    for (std::size_t n = 0; n < aVms; ++n) {
      Start(n);
    }
  }

  /// Starts the VM, or replaces its process.
  void Start(std::size_t aVm)
  {
    const Incarnation incarnation{ ++mIncarnations };
    Vm& vm = mVms[aVm];
    vm.mRecord = RecordOf(aVm, incarnation);
    vm.mReplies.clear();
    vm.mGateway = std::make_unique<Gateway>(
      Gateway::Options{ .mSelf = vm.mRecord,
                        .mSeed = incarnation.mNumber,
                        .mRetries = { .mAllowance = 50 } });
    Deliver(aVm, event::PolicyReceived{ MakePolicy() });
    for (const Server& server : mServers) {
      Deliver(aVm, event::BackendRegistered{ EntryOf(server) });
    }
    for (std::size_t n = 0; n < mVms.size(); ++n) {
      if (mVms[n].mGateway) {
        Deliver(aVm, event::VmRegistered{ mVms[n].mRecord });
        Deliver(n, event::VmRegistered{ vm.mRecord });
      }
    }
    Deliver(aVm, event::RegistrationsComplete{});
  }

  void SetLimit(std::size_t aServer, std::optional<double> aPerSecond)
  {
    mServers[aServer].mLimit = aPerSecond;
    mServers[aServer].mLimitedSince = mNow;
  }

  /// Runs for a time with the given rate of requests of all callers together.
  void Run(Duration aTime, double aRequestsPerSecond)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      mDue += aRequestsPerSecond * ToSeconds(kStep);
      for (; mDue >= 1; mDue -= 1) {
        SendRequest();
      }
      for (std::size_t n = 0; n < mVms.size(); ++n) {
        DeliverDue(n);
        Deliver(n, event::Tick{});
      }
    }
  }

  /// Most requests that arrived at a server in any window after aFrom.
  std::size_t MostArrivals(std::size_t aServer,
                           TimePoint aFrom,
                           Duration aWindow) const
  {
    const std::vector<TimePoint>& all = mServers[aServer].mArrivals;
    auto first = std::lower_bound(all.begin(), all.end(), aFrom);
    std::size_t most = 0;
    for (auto last = first; last != all.end(); ++last) {
      while (*last - *first >= aWindow) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }

  std::size_t ArrivalsSince(std::size_t aServer, TimePoint aFrom) const
  {
    const std::vector<TimePoint>& all = mServers[aServer].mArrivals;
    return static_cast<std::size_t>(
      all.end() - std::lower_bound(all.begin(), all.end(), aFrom));
  }

  TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<Server> mServers;
  std::size_t mRefused = 0;
  std::size_t mAnswered = 0;
  /// Fraction of the messages between VMs that get lost.
  double mMessageLoss = 0;
  /// Index of a VM that gets no requests from callers.
  std::optional<std::size_t> mVmWithoutCallers;
  /// Index of a VM that no message reaches.
  std::optional<std::size_t> mDeafVm;

private:
  struct Reply
  {
    TimePoint mAt{};
    event::BackendReplied mReply;
  };

  struct Incoming
  {
    TimePoint mAt{};
    event::PeerMessageReceived mMessage;
  };

  struct Vm
  {
    VmRecord mRecord;
    std::unique_ptr<Gateway> mGateway;
    std::deque<Reply> mReplies;
    std::deque<Incoming> mIncoming;
  };

  static VmRecord RecordOf(std::size_t aVm, Incarnation aIncarnation)
  {
    const std::string name = "vm-" + std::to_string(aVm);
    return { .mVm = VmId(name),
             .mIncarnation = aIncarnation,
             .mRegion = RegionId("near"),
             .mFailureDomain = FailureDomainId("near-a"),
             .mAddress = name,
             .mPeerPort = 1 };
  }

  static BackendEntry EntryOf(const Server& aServer)
  {
    return { .mBackend = aServer.mBackend,
             .mService = ServiceId("ordering"),
             .mAddress = aServer.mBackend.mName,
             .mPort = 1,
             .mFailureDomain = FailureDomainId("near-a"),
             .mRegion = RegionId("near"),
             .mSlots = 4 };
  }

  static PolicyPtr MakePolicy()
  {
    RoutePolicy route;
    route.mRoute = RouteId("prices");
    route.mHost = "shop";
    route.mPrefix = "/";
    route.mIsIdempotent = true;
    route.mTimeout = std::chrono::seconds(2);
    route.mTargetLatency = std::chrono::milliseconds(400);
    route.mPriority = 1;
    route.mServices = { { ServiceId("ordering"), 1 } };
    route.mMaxAttempts = 2;
    route.mIsPublic = true;
    route.mIsSticky = true;
    PolicyContent content;
    content.mRevision = { 1 };
    content.mServices = { { .mService = ServiceId("ordering") } };
    content.mRoutes = { route };
    return Policy::Make(std::move(content));
  }

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  void SendRequest()
  {
    auto vm =
      static_cast<std::size_t>(Draw() * static_cast<double>(mVms.size()));
    if (vm == mVmWithoutCallers) {
      vm = (vm + 1) % mVms.size();
    }
    constexpr double kObjects = 60;
    Deliver(
      vm,
      event::RequestArrived{
        .mRequest = RequestId{ ++mRequests },
        .mContent = std::make_shared<const RequestContent>(
          RequestContent{ .mMethod = "GET", .mTarget = "/" }),
        .mHost = "shop",
        .mObject = "o" + std::to_string(static_cast<int>(Draw() * kObjects)),
        .mTrace = std::to_string(mRequests) });
  }

  void DeliverDue(std::size_t aVm)
  {
    Vm& vm = mVms[aVm];
    while (!vm.mReplies.empty() && vm.mReplies.front().mAt <= mNow) {
      const event::BackendReplied reply = vm.mReplies.front().mReply;
      vm.mReplies.pop_front();
      Deliver(aVm, reply);
    }
    while (!vm.mIncoming.empty() && vm.mIncoming.front().mAt < mNow) {
      const event::PeerMessageReceived message = vm.mIncoming.front().mMessage;
      vm.mIncoming.pop_front();
      Deliver(aVm, message);
    }
  }

  void Deliver(std::size_t aVm, const Event& aEvent)
  {
    for (const Effect& effect : mVms[aVm].mGateway->Reduce(aEvent, mNow)) {
      if (const auto* const send = std::get_if<effect::Dispatch>(&effect)) {
        Arrive(aVm, *send);
      } else if (const auto* const message =
                   std::get_if<effect::SendMessage>(&effect)) {
        PassOn(aVm, *message);
      } else if (std::holds_alternative<effect::Refuse>(effect)) {
        ++mRefused;
      } else if (std::holds_alternative<effect::Respond>(effect)) {
        ++mAnswered;
      }
    }
  }

  void Arrive(std::size_t aVm, const effect::Dispatch& aDispatch)
  {
    const auto server =
      std::find_if(mServers.begin(), mServers.end(), [&](const Server& aEach) {
        return aEach.mBackend == aDispatch.mBackend;
      });
    server->mArrivals.push_back(mNow);
    mVms[aVm].mReplies.push_back(
      { mNow + kServiceTime,
        { .mRequest = aDispatch.mRequest,
          .mAttempt = aDispatch.mAttempt,
          .mAnswer = std::make_shared<const AnswerContent>(
            AnswerContent{ .mStatus = 200 }),
          .mRateLimit = server->mLimit,
          .mLatency = kServiceTime } });
  }

  void PassOn(std::size_t aFrom, const effect::SendMessage& aSend)
  {
    const auto vm =
      std::find_if(mVms.begin(), mVms.end(), [&](const Vm& aEach) {
        return aEach.mRecord.mVm == aSend.mTo;
      });
    const bool isDeaf = mDeafVm == static_cast<std::size_t>(vm - mVms.begin());
    if (vm == mVms.end() || isDeaf || Draw() < mMessageLoss) {
      return;
    }
    const VmRecord& sender = mVms[aFrom].mRecord;
    vm->mIncoming.push_back({ mNow,
                              { .mFrom = { sender.mVm, sender.mIncarnation },
                                .mMessage = aSend.mMessage } });
  }

  std::mt19937_64 mRandom;
  std::vector<Vm> mVms;
  std::uint64_t mIncarnations = 0;
  std::uint64_t mRequests = 0;
  double mDue = 0;
};

} // namespace cranberrywing::gateway::testing
