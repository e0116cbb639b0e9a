/// \file
/// Simulated fleet of Membership objects on an in-memory network with virtual
/// time, for tests and benchmarks.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cranberrywing/membership.h"
#include "testing/event_queue.h"

namespace cranberrywing::testing {

/// Deterministic: equal options and calls give equal runs. Not thread-safe.
class MembershipFleet
{
public:
  struct Options
  {
    std::size_t mSize = 11;
    std::size_t mRegions = 3;
    std::size_t mDomains = 6;
    std::uint64_t mSeed = 1;
    /// Of a datagram; streams lose nothing.
    double mLossProbability = 0;
    Duration mMinDelay = std::chrono::microseconds(500);
    Duration mMaxDelay = std::chrono::milliseconds(20);
    /// Whether a node pushes a newly learned configuration version to random
    /// peers, as Configuration does.
    bool mPushVersions = false;
    /// Whether sent messages are encoded in order to count their bytes.
    bool mCountBytes = false;
  };

  struct Node
  {
    std::unique_ptr<Membership> mMembership;
    MemberUpdate mSelf;
    bool mRunning = false;
    bool mPaused = false;
    /// Network partition: messages pass only between nodes of the same group.
    int mGroup = 0;
    std::optional<TimePoint> mLastStoreContact;
    ConfigurationVersion mVersion{ .mRevision = { 1 }, .mDigest = {} };
    TimePoint mVersionLearnedAt{};
    std::vector<VmIncarnation> mDeaths;
    std::vector<std::function<void()>> mDeferred;
    std::uint64_t mMessages = 0;
    std::uint64_t mBytes = 0;
    /// Number of suspicions that this member raised itself, and of times that
    /// it recorded a member as unreachable.
    std::uint64_t mSuspicions = 0;
    std::uint64_t mUnreachable = 0;
  };

  explicit MembershipFleet(Options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mNodes(aOptions.mSize)
  {
    std::uniform_int_distribution<int> phase(0, 9'999);
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      Start(i);
      mQueue.Every(std::chrono::microseconds(phase(mRandom)),
                   event::kTickInterval,
                   [this, i] { Tick(i); });
    }
  }

  Node& At(std::size_t aIndex) { return mNodes.at(aIndex); }
  Membership& MembershipOf(std::size_t aIndex)
  {
    return *At(aIndex).mMembership;
  }
  static VmId VmIdOf(std::size_t aIndex)
  {
    return VmId("vm-" + std::to_string(aIndex));
  }
  /// In bytes; zero unless mCountBytes is set.
  std::size_t LargestDatagram() const { return mLargestDatagram; }
  std::size_t Size() const { return mNodes.size(); }
  TimePoint Now() const { return mQueue.Now(); }
  EventQueue& Queue() { return mQueue; }
  void SetLoss(double aLoss) { mOptions.mLossProbability = aLoss; }
  /// Only nodes of this group reach the store; negative: no node does.
  void SetStoreGroup(int aGroup) { mStoreGroup = aGroup; }

  /// Starts a new process of the VM; it replaces a running one.
  void Start(std::size_t aIndex)
  {
    Node& node = At(aIndex);
    const std::string domain = std::to_string(aIndex % mOptions.mDomains);
    const std::string region =
      std::to_string(aIndex % mOptions.mDomains % mOptions.mRegions);
    node.mSelf.mMember = { VmIdOf(aIndex), Incarnation{ ++mIncarnations } };
    node.mSelf.mAddress = "10.0.0." + std::to_string(aIndex);
    node.mSelf.mPeerPort = 7101;
    node.mSelf.mCallerPort = 7001;
    node.mSelf.mFailureDomain = FailureDomainId("domain-" + domain);
    node.mSelf.mRegion = RegionId("region-" + region);
    node.mSelf.mSite = SiteId("site-" + region);
    node.mRunning = true;
    node.mPaused = false;
    node.mLastStoreContact.reset();
    node.mDeferred.clear();
    node.mDeaths.clear();
    Membership::Options options{ .mSelf = node.mSelf, .mSeeds = Seeds() };
    options.mSeed = mOptions.mSeed * 100'000 + mIncarnations;
    node.mMembership =
      std::make_unique<Membership>(std::move(options), Hooks(node));
  }

  void Crash(std::size_t aIndex) { At(aIndex).mRunning = false; }

  /// Pauses the process; messages that arrive meanwhile are delivered on
  /// resumption.
  void Pause(std::size_t aIndex) { At(aIndex).mPaused = true; }
  void Resume(std::size_t aIndex)
  {
    At(aIndex).mPaused = false;
    std::vector<std::function<void()>> queued;
    queued.swap(At(aIndex).mDeferred);
    for (const auto& deliver : queued) {
      deliver();
    }
  }

  /// Delivers the platform's VM list, without the excluded nodes, to every
  /// running node.
  void DeliverVmList(const std::vector<std::size_t>& aExcluded)
  {
    event::VmListReceived list;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (std::find(aExcluded.begin(), aExcluded.end(), i) == aExcluded.end()) {
        list.mEntries.push_back({ .mVm = VmIdOf(i) });
      }
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      DeliverVmListTo(i, list);
    }
  }

  void DeliverVmListTo(std::size_t aIndex, const event::VmListReceived& aList)
  {
    if (At(aIndex).mRunning) {
      EffectList effects;
      MembershipOf(aIndex).OnVmList(aList, Now(), effects);
      ExecuteEffects(aIndex, std::move(effects));
    }
  }

  /// Announces a planned leave of the node; see Membership::Leave().
  void Leave(std::size_t aIndex, bool aFinal)
  {
    EffectList effects;
    MembershipOf(aIndex).Leave(aFinal, Now(), effects);
    ExecuteEffects(aIndex, std::move(effects));
  }

  /// Gives the node a newer configuration version, as if it came from the
  /// store, and lets it push the version to peers.
  void Publish(std::size_t aIndex, std::uint64_t aRevision)
  {
    At(aIndex).mVersion.mRevision.mNumber = aRevision;
    At(aIndex).mVersionLearnedAt = Now();
    PushVersion(aIndex);
  }

  void RunFor(Duration aDuration) { mQueue.RunFor(aDuration); }

private:
  std::vector<VmSettings> Seeds() const
  {
    constexpr std::size_t kSeeds = 5;
    std::vector<VmSettings> seeds;
    for (std::size_t i = 0; i < std::min(kSeeds, mNodes.size()); ++i) {
      VmSettings seed;
      seed.mVm = VmIdOf(i);
      seed.mAddress = "10.0.0." + std::to_string(i);
      seed.mPeerPort = 7101;
      seeds.push_back(seed);
    }
    return seeds;
  }

  MembershipHooks Hooks(Node& aNode)
  {
    const auto index = static_cast<std::size_t>(&aNode - mNodes.data());
    return {
      .mVersion = [&aNode] { return aNode.mVersion; },
      .mStoreContactAge = [this, &aNode]() -> std::optional<Duration> {
        if (!aNode.mLastStoreContact) {
          return std::nullopt;
        }
        return Now() - *aNode.mLastStoreContact;
      },
      .mOnVersion =
        [this, index](const VmId&, const ConfigurationVersion& aVersion) {
          AdoptVersion(index, aVersion);
        },
      .mOnDeath =
        [&aNode](const VmIncarnation& aProcess) {
          aNode.mDeaths.push_back(aProcess);
        },
    };
  }

  void AdoptVersion(std::size_t aIndex, const ConfigurationVersion& aVersion)
  {
    Node& node = At(aIndex);
    if (aVersion.mRevision.mNumber <= node.mVersion.mRevision.mNumber) {
      return;
    }
    node.mVersion = aVersion;
    node.mVersionLearnedAt = Now();
    if (mOptions.mPushVersions) {
      // Deferred, because the Membership object is still handling a message
      // and must not be reentered.
      mQueue.After(Duration(1), [this, aIndex] { PushVersion(aIndex); });
    }
  }

  void PushVersion(std::size_t aIndex)
  {
    std::size_t count = 2;
    for (std::size_t n = mNodes.size(); n > 1; n /= 2) {
      ++count;
    }
    EffectList effects;
    for (const VmId& peer : MembershipOf(aIndex).PickPeers(count)) {
      effect::SendMessage send;
      send.mTo = peer;
      send.mMessage =
        message::ConfigurationOffer{ .mVersion = At(aIndex).mVersion };
      effects.push_back(std::move(send));
    }
    ExecuteEffects(aIndex, std::move(effects));
  }

  void Tick(std::size_t aIndex)
  {
    Node& node = At(aIndex);
    if (!node.mRunning || node.mPaused) {
      return;
    }
    const bool hasStore = node.mGroup == mStoreGroup;
    if (hasStore && node.mMembership->IsStoreWatcher()) {
      // A store watch reports progress about once a second.
      constexpr Duration kWatchProgressInterval = std::chrono::seconds(1);
      if (!node.mLastStoreContact ||
          Now() - *node.mLastStoreContact >= kWatchProgressInterval) {
        node.mLastStoreContact = Now();
      }
    }
    EffectList effects;
    node.mMembership->Tick(Now(), effects);
    ExecuteEffects(aIndex, std::move(effects));
  }

  void ExecuteEffects(std::size_t aFrom, EffectList aEffects)
  {
    Node& node = At(aFrom);
    for (Effect& effect : aEffects) {
      if (const auto* record = std::get_if<effect::RecordTimeline>(&effect)) {
        const bool isOwnSuspicion =
          record->mFields.back().mValue == "no_answer";
        node.mSuspicions += isOwnSuspicion ? 1 : 0;
        node.mUnreachable += record->mName == "member_unreachable" ? 1 : 0;
      }
      if (auto* send = std::get_if<effect::SendMessage>(&effect)) {
        Send(aFrom, std::move(*send));
      }
    }
  }

  void Send(std::size_t aFrom, effect::SendMessage aSend)
  {
    Node& node = At(aFrom);
    Envelope envelope{ node.mMembership->Self(), std::move(aSend.mMessage) };
    ++node.mMessages;
    if (mOptions.mCountBytes) {
      const std::size_t bytes = EncodeEnvelope(envelope, MessageCodec()).size();
      node.mBytes += bytes;
      if (aSend.mTransport == effect::Transport::Datagram) {
        mLargestDatagram = std::max(mLargestDatagram, bytes);
      }
    }
    const bool isDatagram = aSend.mTransport == effect::Transport::Datagram;
    std::uniform_real_distribution<double> chance(0, 1);
    if (isDatagram && chance(mRandom) < mOptions.mLossProbability) {
      return;
    }
    std::uniform_int_distribution<Duration::rep> delay(
      mOptions.mMinDelay.count(), mOptions.mMaxDelay.count());
    const auto to = std::stoul(aSend.mTo.mName.substr(3));
    mQueue.After(Duration(delay(mRandom)),
                 [this, aFrom, to, envelope = std::move(envelope)] {
                   Deliver(aFrom, to, envelope);
                 });
  }

  void Deliver(std::size_t aFrom, std::size_t aTo, const Envelope& aEnvelope)
  {
    Node& node = At(aTo);
    if (!node.mRunning || node.mGroup != At(aFrom).mGroup) {
      return;
    }
    if (node.mPaused) {
      node.mDeferred.push_back(
        [this, aFrom, aTo, aEnvelope] { Deliver(aFrom, aTo, aEnvelope); });
      return;
    }
    EffectList effects;
    std::visit(
      [&](const auto& aMessage) {
        using Type = std::decay_t<decltype(aMessage)>;
        if constexpr (std::is_same_v<Type, message::ConfigurationOffer>) {
          AdoptVersion(aTo, aMessage.mVersion);
        } else if constexpr (requires {
                               node.mMembership->OnMessage(
                                 aEnvelope.mFrom, aMessage, Now(), effects);
                             }) {
          node.mMembership->OnMessage(
            aEnvelope.mFrom, aMessage, Now(), effects);
        }
      },
      aEnvelope.mMessage);
    ExecuteEffects(aTo, std::move(effects));
  }

  Options mOptions;
  std::mt19937_64 mRandom;
  EventQueue mQueue;
  std::vector<Node> mNodes;
  std::uint64_t mIncarnations = 0;
  int mStoreGroup = 0;
  std::size_t mLargestDatagram = 0;
};

} // namespace cranberrywing::testing
