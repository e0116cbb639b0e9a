/// \file
/// Test fixture: gateways of three regions with backend servers that queue
/// requests and remember objects, and callers that come back, on a virtual
/// clock. A client account may run in the smallest region only.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway::testing {

/// Requests of one region's callers, by where they were sent.
struct RegionWindow
{
  std::map<RegionId, std::size_t> mSent;
  std::size_t Total() const
  {
    std::size_t sum = 0;
    for (const auto& [region, count] : mSent) {
      sum += count;
    }
    return sum;
  }
};

/// Results of one client account's callers in regions that may not serve it.
struct AwayResults
{
  std::size_t mAnswered = 0;
  std::size_t mRefused = 0;
  std::size_t mExpired = 0;
};

/// Not thread-safe.
class RegionFleet
{
public:
  struct Options
  {
    /// Requests per second of each region's callers.
    double mRequestsPerSecond = 220;
    /// Fraction of the requests that belong to the account of one region.
    double mBoundFraction = 0.06;
    /// Servers of the regions, smallest region first.
    std::vector<std::size_t> mServers = { 6, 24, 30 };
    std::size_t mVmsPerRegion = 4;
    /// Objects of the requests. The servers of the smallest region remember 96.
    std::size_t mObjects = 80;
    std::uint64_t mSeed = 1;
  };

  static constexpr Duration kStep = std::chrono::milliseconds(25);
  static constexpr Duration kWindow = std::chrono::seconds(2);
  static constexpr Duration kTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kKnownObjectTime = std::chrono::milliseconds(200);
  static constexpr Duration kNewObjectTime = std::chrono::milliseconds(600);
  static constexpr std::size_t kSlots = 4;
  static constexpr std::size_t kQueue = 12;
  static constexpr std::size_t kKnownObjects = 16;

  explicit RegionFleet(Options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    const std::vector<RegionId> regions{ RegionId("small"),
                                         RegionId("middle"),
                                         RegionId("large") };
    mRegions = regions;
    for (std::size_t region = 0; region < regions.size(); ++region) {
      for (std::size_t n = 0; n < mOptions.mServers[region]; ++n) {
        Server server;
        server.mBackend =
          BackendId(regions[region].mName + "-s" + std::to_string(n));
        server.mRegion = regions[region];
        mServers[server.mBackend] = server;
      }
      for (std::size_t n = 0; n < mOptions.mVmsPerRegion; ++n) {
        AddVm(regions[region], n);
      }
    }
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      Deliver(vm, event::PolicyReceived{ MakePolicy() });
      for (const auto& [id, server] : mServers) {
        Deliver(vm, event::BackendRegistered{ EntryOf(server) });
      }
      for (const Vm& other : mVms) {
        Deliver(vm, event::VmRegistered{ other.mRecord });
      }
      Deliver(vm, event::RegistrationsComplete{});
    }
  }

  /// Runs for a time in which callers send new requests at the given multiple
  /// of Options::mRequestsPerSecond. Callers also come back then.
  void Run(Duration aTime, double aFactor)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      for (auto& [region, due] : mDue) {
        due += aFactor * mOptions.mRequestsPerSecond * ToSeconds(kStep);
        for (; due >= 1; due -= 1) {
          const bool isBound = Draw() < mOptions.mBoundFraction;
          Send(region, isBound, RandomObject(), 0);
        }
      }
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const auto handler = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        handler();
      }
      for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
        Deliver(vm, event::Tick{});
      }
    }
  }

  /// Fraction of the requests that are in another region in one of the windows.
  static double Change(const RegionWindow& aLeft, const RegionWindow& aRight)
  {
    std::map<RegionId, double> difference;
    for (const auto& [region, count] : aLeft.mSent) {
      difference[region] += Fraction(aLeft, region);
    }
    for (const auto& [region, count] : aRight.mSent) {
      difference[region] -= Fraction(aRight, region);
    }
    double change = 0;
    for (const auto& [region, fraction] : difference) {
      change += std::abs(fraction) / 2;
    }
    return change;
  }

  /// Largest fraction of a region's requests that changed their region from one
  /// window to the next after aFrom. Windows with fewer requests than aMinimum
  /// are left out.
  double LargestShift(const RegionId& aRegion,
                      TimePoint aFrom,
                      std::size_t aMinimum) const
  {
    double largest = 0;
    const RegionWindow* before = nullptr;
    for (const auto& [start, window] : mWindows.at(aRegion)) {
      if (start < aFrom || window.Total() < aMinimum) {
        before = nullptr;
        continue;
      }
      if (before) {
        largest = std::max(largest, Change(*before, window));
      }
      before = &window;
    }
    return largest;
  }

  TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<RegionId> mRegions;
  /// Results of requests whose callers are not in the region that serves them.
  AwayResults mAway;
  /// Results of all other requests.
  AwayResults mOthers;
  /// By region of the callers and start of the window.
  std::map<RegionId, std::map<TimePoint, RegionWindow>> mWindows;

  /// Longest time for which a VM was not told the demand of another region.
  Duration mLongestDemandGap{};

private:
  struct Server
  {
    BackendId mBackend;
    RegionId mRegion;
    std::size_t mRunning = 0;
    /// Request and attempt, with what starts it.
    std::deque<std::pair<RequestId, std::function<void()>>> mQueue;
    std::deque<std::string> mObjects;
  };

  struct Vm
  {
    VmRecord mRecord;
    std::unique_ptr<Gateway> mGateway;
  };

  struct Caller
  {
    RegionId mRegion;
    bool mIsBound = false;
    std::string mObject;
    int mRetries = 0;
    BackendId mServer;
  };

  static double Fraction(const RegionWindow& aWindow, const RegionId& aRegion)
  {
    const auto it = aWindow.mSent.find(aRegion);
    return it == aWindow.mSent.end() ? 0
                                     : static_cast<double>(it->second) /
                                         static_cast<double>(aWindow.Total());
  }

  void AddVm(const RegionId& aRegion, std::size_t aNumber)
  {
    Vm vm;
    const std::string name = aRegion.mName + "-vm" + std::to_string(aNumber);
    vm.mRecord = { .mVm = VmId(name),
                   .mIncarnation = { mVms.size() + 1 },
                   .mRegion = aRegion,
                   .mFailureDomain = FailureDomainId(aRegion.mName + "-a"),
                   .mAddress = name,
                   .mPeerPort = 1 };
    vm.mGateway = std::make_unique<Gateway>(
      Gateway::Options{ .mSelf = vm.mRecord,
                        .mSeed = mOptions.mSeed * 100 + mVms.size(),
                        .mRetries = { .mAllowance = 50 } });
    mVms.push_back(std::move(vm));
    mDue[aRegion] = 0;
  }

  static BackendEntry EntryOf(const Server& aServer)
  {
    return { .mBackend = aServer.mBackend,
             .mService = ServiceId("ordering"),
             .mAddress = aServer.mBackend.mName,
             .mPort = 1,
             .mFailureDomain = FailureDomainId(aServer.mRegion.mName + "-a"),
             .mRegion = aServer.mRegion,
             .mSlots = kSlots };
  }

  PolicyPtr MakePolicy() const
  {
    RoutePolicy route;
    route.mRoute = RouteId("orders");
    route.mHost = "shop";
    route.mPrefix = "/";
    route.mTimeout = kTimeout;
    route.mTargetLatency = std::chrono::milliseconds(800);
    route.mPriority = 1;
    route.mServices = { { ServiceId("ordering"), 1 } };
    route.mMaxAttempts = 2;
    route.mIsSticky = true;
    PolicyContent content;
    content.mRevision = { 1 };
    content.mServices = { { .mService = ServiceId("ordering") } };
    content.mRoutes = { route };
    content.mAccounts = { { .mAccount = AccountId("everywhere"),
                            .mKeys = { "everywhere" } },
                          { .mAccount = AccountId("bound"),
                            .mKeys = { "bound" },
                            .mAllowedRegions = { mRegions.front() } } };
    return Policy::Make(std::move(content));
  }

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  std::string RandomObject()
  {
    return std::to_string(static_cast<std::size_t>(
      Draw() * static_cast<double>(mOptions.mObjects)));
  }

  void After(Duration aDelay, std::function<void()> aHandler)
  {
    mEvents.emplace(mNow + aDelay, std::move(aHandler));
  }

  void Send(const RegionId& aRegion,
            bool aIsBound,
            const std::string& aObject,
            int aRetries)
  {
    std::vector<std::size_t> vms;
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      if (mVms[vm].mRecord.mRegion == aRegion) {
        vms.push_back(vm);
      }
    }
    const auto chosen =
      static_cast<std::size_t>(Draw() * static_cast<double>(vms.size()));
    const RequestId id{ ++mRequests };
    mCallers[id] = { .mRegion = aRegion,
                     .mIsBound = aIsBound,
                     .mObject = aObject,
                     .mRetries = aRetries };
    Deliver(vms[chosen],
            event::RequestArrived{
              .mRequest = id,
              .mContent = std::make_shared<const RequestContent>(
                RequestContent{ .mMethod = "POST", .mTarget = "/" }),
              .mHost = "shop",
              .mKey = aIsBound ? "bound" : "everywhere",
              .mObject = aObject,
              .mTrace = std::to_string(mRequests) });
  }

  void Deliver(std::size_t aVm, const Event& aEvent)
  {
    for (const Effect& effect : mVms[aVm].mGateway->Reduce(aEvent, mNow)) {
      if (const auto* const send = std::get_if<effect::Dispatch>(&effect)) {
        Dispatch(aVm, *send);
      } else if (const auto* const cancel =
                   std::get_if<effect::CancelDispatch>(&effect)) {
        Cancel(cancel->mRequest);
      } else if (const auto* const message =
                   std::get_if<effect::SendMessage>(&effect)) {
        PassOn(aVm, *message);
      } else if (const auto* const refusal =
                   std::get_if<effect::Refuse>(&effect)) {
        End(refusal->mRequest, &refusal->mRefusal);
      } else if (const auto* const answer =
                   std::get_if<effect::Respond>(&effect)) {
        End(answer->mRequest, nullptr);
      }
    }
  }

  Duration Latency(std::size_t aVm, const RegionId& aRegion) const
  {
    return mVms[aVm].mRecord.mRegion == aRegion ? std::chrono::milliseconds(1)
                                                : std::chrono::milliseconds(35);
  }

  /// Sends a request to a server; the request counts for the window in which it
  /// was sent.
  void Dispatch(std::size_t aVm, const effect::Dispatch& aDispatch)
  {
    Server& server = mServers.at(aDispatch.mBackend);
    Caller& caller = mCallers.at(aDispatch.mRequest);
    caller.mServer = aDispatch.mBackend;
    const TimePoint window{ mNow.time_since_epoch() / kWindow * kWindow };
    ++mWindows[caller.mRegion][window].mSent[server.mRegion];
    const Duration latency = Latency(aVm, server.mRegion);
    const TimePoint sentAt = mNow;
    const std::string object = caller.mObject;
    After(latency, [=, this] { Arrive(aVm, aDispatch, object, sentAt); });
  }

  void Arrive(std::size_t aVm,
              const effect::Dispatch& aDispatch,
              const std::string& aObject,
              TimePoint aSentAt)
  {
    Server& server = mServers.at(aDispatch.mBackend);
    const auto run = [=, this] { Run(aVm, aDispatch, aObject, aSentAt); };
    if (server.mRunning < kSlots) {
      run();
    } else if (server.mQueue.size() < kQueue) {
      server.mQueue.emplace_back(aDispatch.mRequest, run);
    } else {
      Reply(aVm, aDispatch, event::ReplyKind::NotRun, aSentAt);
    }
  }

  void Run(std::size_t aVm,
           const effect::Dispatch& aDispatch,
           const std::string& aObject,
           TimePoint aSentAt)
  {
    Server& server = mServers.at(aDispatch.mBackend);
    ++server.mRunning;
    auto& objects = server.mObjects;
    const auto known = std::find(objects.begin(), objects.end(), aObject);
    const Duration time =
      known == objects.end() ? kNewObjectTime : kKnownObjectTime;
    if (known != objects.end()) {
      objects.erase(known);
    }
    objects.push_back(aObject);
    if (objects.size() > kKnownObjects) {
      objects.pop_front();
    }
    After(time, [=, this] {
      Server& each = mServers.at(aDispatch.mBackend);
      --each.mRunning;
      Reply(aVm, aDispatch, event::ReplyKind::Answer, aSentAt);
      if (!each.mQueue.empty()) {
        const auto next = std::move(each.mQueue.front().second);
        each.mQueue.pop_front();
        next();
      }
    });
  }

  void Reply(std::size_t aVm,
             const effect::Dispatch& aDispatch,
             event::ReplyKind aKind,
             TimePoint aSentAt)
  {
    const Server& server = mServers.at(aDispatch.mBackend);
    const LoadSample load{ .mRunning =
                             static_cast<std::uint32_t>(server.mRunning),
                           .mWaiting =
                             static_cast<std::uint32_t>(server.mQueue.size()),
                           .mSlots = kSlots };
    After(Latency(aVm, server.mRegion), [=, this] {
      Deliver(
        aVm,
        event::BackendReplied{ .mRequest = aDispatch.mRequest,
                               .mAttempt = aDispatch.mAttempt,
                               .mKind = aKind,
                               .mAnswer = std::make_shared<const AnswerContent>(
                                 AnswerContent{ .mStatus = 200 }),
                               .mLoad = load,
                               .mLatency = mNow - aSentAt });
    });
  }

  /// Servers drop waiting requests whose connection is closed.
  void Cancel(RequestId aRequest)
  {
    const auto it = mCallers.find(aRequest);
    if (it != mCallers.end()) {
      std::erase_if(
        mServers.at(it->second.mServer).mQueue,
        [&](const auto& aEntry) { return aEntry.first == aRequest; });
    }
  }

  /// Callers come back once: when a refusal says, or at once after a deadline.
  void End(RequestId aRequest, const Refusal* aRefusal)
  {
    const auto it = mCallers.find(aRequest);
    if (it == mCallers.end()) {
      return;
    }
    const Caller caller = it->second;
    mCallers.erase(it);
    AwayResults& results =
      caller.mIsBound && caller.mRegion != mRegions.front() ? mAway : mOthers;
    if (!aRefusal) {
      ++results.mAnswered;
      return;
    }
    const bool isNotRun = aRefusal->mExecution == Execution::NotRun;
    ++(isNotRun ? results.mRefused : results.mExpired);
    if (caller.mRetries == 0) {
      After(isNotRun ? aRefusal->mRetryAfter : Duration(), [=, this] {
        Send(caller.mRegion, caller.mIsBound, caller.mObject, 1);
      });
    }
  }

  void PassOn(std::size_t aFrom, const effect::SendMessage& aSend)
  {
    const auto vm =
      std::find_if(mVms.begin(), mVms.end(), [&](const Vm& aEach) {
        return aEach.mRecord.mVm == aSend.mTo;
      });
    if (vm == mVms.end()) {
      return;
    }
    const auto to = static_cast<std::size_t>(vm - mVms.begin());
    const VmRecord& sender = mVms[aFrom].mRecord;
    if (std::holds_alternative<message::RegionDemand>(aSend.mMessage)) {
      const auto [it, isFirst] =
        mDemandToldAt.try_emplace({ to, sender.mRegion }, mNow);
      mLongestDemandGap =
        std::max(mLongestDemandGap, mNow - std::exchange(it->second, mNow));
    }
    const event::PeerMessageReceived received{
      .mFrom = { sender.mVm, sender.mIncarnation }, .mMessage = aSend.mMessage
    };
    After(Latency(aFrom, vm->mRecord.mRegion),
          [=, this] { Deliver(to, received); });
  }

  Options mOptions;
  std::mt19937_64 mRandom;
  std::map<BackendId, Server> mServers;
  std::vector<Vm> mVms;
  /// By receiver and region of the sender.
  std::map<std::pair<std::size_t, RegionId>, TimePoint> mDemandToldAt;
  std::map<RegionId, double> mDue;
  std::map<RequestId, Caller> mCallers;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::uint64_t mRequests = 0;
};

} // namespace cranberrywing::gateway::testing
