/// \file
/// Simulated fleet of ShareLedger and RateLimiter objects on an in-memory
/// network and store with virtual time, for tests and benchmarks.
#pragma once

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/rate_limiter.h"
#include "cranberrywing/share_ledger.h"
#include "testing/admissions.h"
#include "testing/event_queue.h"
#include "testing/fake_store.h"

namespace cranberrywing::testing {

/// Deterministic: equal options and calls give equal runs. Not thread-safe.
class RateFleet
{
public:
  struct Options
  {
    std::size_t mSize = 11;
    std::uint64_t mSeed = 1;
    /// Rate limit of the account in requests per second over all VMs.
    double mRate = 200;
    double mBurst = 100;
    bool mTransfersEnabled = true;
    /// Whether each holder has a fixed, equal fraction and the ledger is
    /// unused.
    bool mStaticFractions = false;
    /// Number of VMs that hold a fraction of the rate; the others only borrow
    /// tokens. Zero: all VMs.
    std::size_t mHolders = 0;
    double mLossProbability = 0;
    double mDuplicateProbability = 0;
    /// Probability that a message takes 400 ms to 1.5 s, so that a transfer
    /// arrives after its validity.
    double mLateProbability = 0;
    Duration mMinDelay = std::chrono::microseconds(250);
    Duration mMaxDelay = std::chrono::milliseconds(10);
    /// Whether the VMs' clocks run up to 1% slow, each at its own rate.
    bool mDriftingClocks = false;
    Duration mReviewInterval = std::chrono::seconds(30);
  };

  explicit RateFleet(Options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mStore(mQueue, aOptions.mSeed + 1)
    , mNodes(aOptions.mSize)
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      mNodes[i].mClockRate =
        mOptions.mDriftingClocks ? 1 - RandomUniform(0, kMaxClockDrift) : 1;
      Start(i);
      const Duration phase =
        std::chrono::microseconds(static_cast<int>(RandomUniform(0, 10'000)));
      mQueue.Every(phase, event::kTickInterval, [this, i] { Tick(i); });
      mQueue.Every(phase + std::chrono::seconds(1),
                   std::chrono::seconds(1),
                   [this, i] { ReportUtilization(i); });
    }
  }

  static const AccountId& Account()
  {
    static const AccountId sAccount("shops");
    return sAccount;
  }

  /// Returns the VM's local clock, whose rate may differ from that of virtual
  /// time.
  TimePoint LocalNow(std::size_t aVm) const
  {
    const double elapsed =
      static_cast<double>(mQueue.Now().time_since_epoch().count());
    return TimePoint(
      Duration(static_cast<Duration::rep>(elapsed * mNodes[aVm].mClockRate)));
  }

  EventQueue& Queue() { return mQueue; }
  FakeStore& Store() { return mStore; }
  std::size_t Size() const { return mNodes.size(); }
  double Burst() const { return mOptions.mBurst; }
  ShareLedger& Ledger(std::size_t aVm) { return *mNodes[aVm].mLedger; }
  RateLimiter& Limiter(std::size_t aVm) { return *mNodes[aVm].mLimiter; }
  std::uint64_t Messages() const { return mMessages; }
  const AdmissionLog& Log() const { return mLog; }

  /// Returns the sum of the fractions that running processes use.
  std::uint64_t TotalUsedFraction() const
  {
    std::uint64_t sum = 0;
    for (const Node& node : mNodes) {
      sum += node.mRunning ? node.mLedger->Fraction(Account().mName) : 0;
    }
    return sum;
  }

  /// Returns the tokens that running processes could use now.
  double TotalUsableTokens() const
  {
    double sum = 0;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      const Node& node = mNodes[i];
      sum += node.mRunning ? node.mLimiter->Tokens(Account(), LocalNow(i)) : 0;
    }
    return sum;
  }

  /// Starts a process as a new incarnation of the VM. An earlier one is ended,
  /// and each VM learns of its death within the given delay.
  void Start(std::size_t aVm,
             Duration aDetectionDelay = std::chrono::seconds(2))
  {
    Node& node = mNodes[aVm];
    if (node.mStarted) {
      Crash(aVm);
      AnnounceDeath(aVm, aDetectionDelay);
    }
    node.mStarted = true;
    node.mRunning = true;
    node.mPaused = false;
    node.mDeferred.clear();
    node.mSelf = { VmId("vm-" + std::to_string(aVm)),
                   Incarnation{ ++mIncarnations } };
    CreateComponents(aVm);
  }

  void Crash(std::size_t aVm) { mNodes[aVm].mRunning = false; }

  /// Notifies each VM, at a random time within the delay, that the VM's latest
  /// process has ended.
  void AnnounceDeath(std::size_t aVm, Duration aDelay)
  {
    const VmIncarnation ended = mNodes[aVm].mSelf;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      const auto delay =
        std::chrono::duration_cast<Duration>(aDelay * RandomUniform(0, 1));
      mQueue.After(delay, [this, i, ended] {
        Node& node = mNodes[i];
        node.mKnownDead.push_back(ended);
        if (node.mRunning) {
          EffectList effects;
          node.mLedger->OnDeath(ended, LocalNow(i), effects);
          ExecuteEffects(i, std::move(effects));
        }
      });
    }
  }

  /// Pauses the process; events that arrive meanwhile are handled on
  /// resumption.
  void Pause(std::size_t aVm) { mNodes[aVm].mPaused = true; }
  void Resume(std::size_t aVm)
  {
    mNodes[aVm].mPaused = false;
    std::vector<std::function<void()>> queued;
    queued.swap(mNodes[aVm].mDeferred);
    for (const auto& deliver : queued) {
      deliver();
    }
  }

  /// Submits a request with a deadline of 10 s to the VM's rate limiter;
  /// ignored if the process is paused or not running.
  void Arrive(std::size_t aVm)
  {
    Node& node = mNodes[aVm];
    if (!node.mRunning || node.mPaused) {
      return;
    }
    EffectList effects;
    const RequestId request = mLog.Arrive(mQueue.Now());
    const TimePoint now = LocalNow(aVm);
    const RateDecision decision = node.mLimiter->Admit(
      request, Account(), now + std::chrono::seconds(10), now, effects);
    if (decision != RateDecision::Waiting) {
      const bool isAdmitted = decision == RateDecision::Admitted;
      mLog.RecordDecision(request, isAdmitted, mQueue.Now());
    }
    ExecuteEffects(aVm, std::move(effects));
  }

  void RunFor(Duration aDuration) { mQueue.RunFor(aDuration); }

private:
  struct Node
  {
    VmIncarnation mSelf;
    bool mStarted = false;
    bool mRunning = false;
    bool mPaused = false;
    double mClockRate = 1;
    std::unique_ptr<ShareLedger> mLedger;
    std::unique_ptr<RateLimiter> mLimiter;
    std::vector<VmIncarnation> mKnownDead;
    std::vector<std::function<void()>> mDeferred;
  };

  double RandomUniform(double aMin, double aMax)
  {
    return std::uniform_real_distribution<double>(aMin, aMax)(mRandom);
  }

  SettingsSnapshot Settings() const
  {
    SettingsSnapshot settings;
    settings.mAccounts[Account()].mRate = mOptions.mRate;
    settings.mAccounts[Account()].mBurst = mOptions.mBurst;
    return settings;
  }

  void CreateComponents(std::size_t aVm)
  {
    Node& node = mNodes[aVm];
    ShareLedger::Options ledger;
    ledger.mSelf = node.mSelf;
    ledger.mSeed = mRandom();
    ledger.mReviewInterval = mOptions.mReviewInterval;
    node.mLedger = std::make_unique<ShareLedger>(
      ledger,
      ShareLedgerHooks{
        .mIsDead =
          [&node](const VmIncarnation& aProcess) {
            return std::find(node.mKnownDead.begin(),
                             node.mKnownDead.end(),
                             aProcess) != node.mKnownDead.end();
          },
        .mExpectedHolders = [this](const std::string&) { return Holders(); } });
    if (aVm < Holders()) {
      node.mLedger->Acquire(Account().mName);
    }
    RateLimiter::Options limiter;
    limiter.mSeed = mRandom();
    limiter.mTransfersEnabled = mOptions.mTransfersEnabled;
    node.mLimiter = std::make_unique<RateLimiter>(
      limiter,
      RateLimiterHooks{
        .mFraction = [this, aVm](const AccountId&) { return FractionOf(aVm); },
        .mPeers = [this, aVm](const AccountId&) { return PeersOf(aVm); } });
    node.mLimiter->Apply(Settings().mAccounts, LocalNow(aVm));
  }

  std::size_t Holders() const
  {
    return mOptions.mHolders == 0 ? mNodes.size() : mOptions.mHolders;
  }

  std::uint32_t FractionOf(std::size_t aVm) const
  {
    if (!mOptions.mStaticFractions) {
      return mNodes[aVm].mLedger->Fraction(Account().mName);
    }
    return aVm < Holders() ? EqualFraction(Holders()) : 0;
  }

  /// Returns the holders other than the VM itself, starting after it.
  std::vector<VmId> PeersOf(std::size_t aVm) const
  {
    std::vector<VmId> peers;
    for (std::size_t i = 0; i < Holders(); ++i) {
      const std::size_t peer = (aVm + i) % Holders();
      if (peer != aVm) {
        peers.push_back(mNodes[peer].mSelf.mVm);
      }
    }
    return peers;
  }

  void Tick(std::size_t aVm)
  {
    Node& node = mNodes[aVm];
    if (!node.mRunning || node.mPaused) {
      return;
    }
    EffectList effects;
    if (!mOptions.mStaticFractions) {
      node.mLedger->Tick(LocalNow(aVm), effects);
    }
    node.mLimiter->Tick(LocalNow(aVm), effects);
    ExecuteEffects(aVm, std::move(effects));
  }

  void ReportUtilization(std::size_t aVm)
  {
    Node& node = mNodes[aVm];
    if (node.mRunning && !node.mPaused) {
      node.mLedger->ReportUtilization(
        Account().mName, node.mLimiter->TakeUtilization(Account()));
    }
  }

  void ExecuteEffects(std::size_t aVm, EffectList aEffects)
  {
    for (const RateOutcome& outcome : mNodes[aVm].mLimiter->TakeOutcomes()) {
      mLog.RecordDecision(outcome.mRequest, outcome.mAdmitted, mQueue.Now());
    }
    for (Effect& effect : aEffects) {
      if (auto* send = std::get_if<effect::SendMessage>(&effect)) {
        Send(aVm, *send);
      } else if (auto* call = std::get_if<effect::CallStore>(&effect)) {
        CallStore(aVm, *call);
      }
    }
  }

  /// Runs the action on the VM after the delay. A non-empty aProcess restricts
  /// it to that process; it is dropped if that process has ended, or if none
  /// runs. A paused process runs it on resumption.
  void Deliver(std::size_t aVm,
               Duration aDelay,
               VmIncarnation aProcess,
               std::function<void(EffectList&)> aAction)
  {
    mQueue.After(aDelay, [this, aVm, aProcess, action = std::move(aAction)] {
      Node& node = mNodes[aVm];
      const auto run = [this, aVm, action] {
        EffectList effects;
        action(effects);
        ExecuteEffects(aVm, std::move(effects));
      };
      if (!node.mRunning ||
          (aProcess != VmIncarnation{} && node.mSelf != aProcess)) {
        return;
      }
      if (node.mPaused) {
        node.mDeferred.push_back(run);
      } else {
        run();
      }
    });
  }

  void CallStore(std::size_t aVm, const effect::CallStore& aCall)
  {
    const VmIncarnation process = mNodes[aVm].mSelf;
    const StoreCallId id = aCall.mCall;
    mStore.Call(
      *aCall.mRequest.mTxn,
      [this, aVm, process, id](const Result<StoreReply>& aReply) {
        Deliver(
          aVm, Duration(0), process, [this, aVm, id, aReply](EffectList& aOut) {
            mNodes[aVm].mLedger->OnStoreReply(
              { .mCall = id, .mReply = aReply }, LocalNow(aVm), aOut);
          });
      });
  }

  Duration NetworkDelay()
  {
    if (RandomUniform(0, 1) < mOptions.mLateProbability) {
      return std::chrono::milliseconds(
        static_cast<int>(RandomUniform(400, 1'500)));
    }
    return Duration(static_cast<Duration::rep>(
      RandomUniform(static_cast<double>(mOptions.mMinDelay.count()),
                    static_cast<double>(mOptions.mMaxDelay.count()))));
  }

  void Send(std::size_t aFrom, const effect::SendMessage& aSend)
  {
    ++mMessages;
    const std::size_t to = std::stoul(aSend.mTo.mName.substr(3));
    const std::size_t copies =
      RandomUniform(0, 1) < mOptions.mDuplicateProbability ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      if (RandomUniform(0, 1) < mOptions.mLossProbability) {
        continue;
      }
      Deliver(to,
              NetworkDelay(),
              VmIncarnation{},
              [this, to, from = mNodes[aFrom].mSelf, message = aSend.mMessage](
                EffectList& aOut) { Receive(to, from, message, aOut); });
    }
  }

  void Receive(std::size_t aVm,
               const VmIncarnation& aFrom,
               const Message& aMessage,
               EffectList& aOut)
  {
    RateLimiter& limiter = *mNodes[aVm].mLimiter;
    if (const auto* request = std::get_if<message::TokenRequest>(&aMessage)) {
      limiter.OnMessage(aFrom, *request, LocalNow(aVm), aOut);
    }
    if (const auto* transfer = std::get_if<message::TokenTransfer>(&aMessage)) {
      limiter.OnMessage(aFrom, *transfer, LocalNow(aVm), aOut);
    }
  }

  Options mOptions;
  std::mt19937_64 mRandom;
  EventQueue mQueue;
  FakeStore mStore;
  std::vector<Node> mNodes;
  std::uint64_t mIncarnations = 0;
  std::uint64_t mMessages = 0;
  AdmissionLog mLog;
};

} // namespace cranberrywing::testing
