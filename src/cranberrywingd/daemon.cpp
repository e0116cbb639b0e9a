#include "cranberrywingd/daemon.h"

#include <algorithm>
#include <random>

namespace cranberrywing::daemon {

namespace {

/// Longest wait for last answers and messages to leave after the core is
/// done.
constexpr std::chrono::seconds kLastBytesLimit{ 1 };
constexpr Milliseconds kLastBytesInterval{ 10 };
/// Least limit of a body, for requests that no route will take anyway.
constexpr std::uint64_t kLeastBodyBytes = 64 * 1024;

MemberUpdate MakeSelf(const BootSettings& aBoot, Incarnation aIncarnation)
{
  MemberUpdate self;
  self.mMember = { aBoot.mVm, aIncarnation };
  self.mAddress = aBoot.mAddress;
  self.mPeerPort = aBoot.mPeerPort;
  self.mCallerPort = aBoot.mCallerPort;
  self.mRegion = aBoot.mRegion;
  self.mFailureDomain = aBoot.mFailureDomain;
  self.mSite = aBoot.mSite;
  return self;
}

std::vector<VmSettings> MakeSeeds(const BootSettings& aBoot)
{
  std::vector<VmSettings> seeds;
  for (const netutil::Endpoint& endpoint : aBoot.mSeeds) {
    if (endpoint == netutil::Endpoint{ aBoot.mAddress, aBoot.mPeerPort }) {
      continue;
    }
    VmSettings seed;
    seed.mAddress = endpoint.mAddress;
    seed.mPeerPort = endpoint.mPort;
    seeds.push_back(std::move(seed));
  }
  return seeds;
}

Reducer::Options MakeReducerOptions(const DaemonOptions& aOptions)
{
  Reducer::Options options;
  options.mSelf = MakeSelf(aOptions.mBoot, aOptions.mIncarnation);
  options.mSeeds = MakeSeeds(aOptions.mBoot);
  options.mInitialDocument = aOptions.mInitialDocument;
  options.mStorePrefix = aOptions.mBoot.mStorePrefix;
  options.mSeed = aOptions.mSeed;
  return options;
}

std::uint64_t LongestBody(const SettingsSnapshot& aSettings)
{
  std::uint64_t longest = kLeastBodyBytes;
  for (const RouteSettings& route : aSettings.mRoutes) {
    longest = std::max(longest, route.mMaxBodyBytes);
  }
  for (const auto& [key, route] : aSettings.mOverrides) {
    longest = std::max(longest, route.mMaxBodyBytes);
  }
  return longest;
}

} // namespace

Incarnation MakeIncarnation()
{
  std::random_device device;
  const auto wall = static_cast<std::uint64_t>(WallMilliseconds());
  return Incarnation{ (wall << 16) | (device() & 0xffff) };
}

Daemon::Daemon(boost::asio::io_context& aContext, DaemonOptions aOptions)
  : mContext(aContext)
  , mBoot(aOptions.mBoot)
  , mSelf{ aOptions.mBoot.mVm, aOptions.mIncarnation }
  , mCodec(aOptions.mPeerSecrets)
  , mReducer(MakeReducerOptions(aOptions))
  , mTick(aContext)
  , mExitTimer(aContext)
  , mCallers(aContext, {}, mMetrics, Sink())
  , mBackends(aContext, mMetrics, Sink())
  , mProber(aContext, Sink())
  , mDatagrams(aContext, mMetrics, Sink(), mCodec)
  , mStreams(aContext, mMetrics, Sink(), mCodec)
  , mStore(aContext, mBoot.mStore, mMetrics, Sink())
  , mWatches(aContext, mStore, mMetrics, Sink())
  , mVmList(aContext, mBoot.mVmList, Sink())
  , mBlocks(
      aContext,
      mStore,
      mBoot.mStorePrefix,
      [this](std::shared_ptr<const ClientBlockTable> aTable) {
        mReducer.SetClientBlocks(std::move(aTable));
      },
      [this](effect::RecordTimeline aRecord) { Record(std::move(aRecord)); })
  , mAdmin(aContext,
           { .mReducer = mReducer,
             .mTimeline = mTimeline,
             .mMetrics = mMetrics,
             .mStore = mStore,
             .mStorePrefix = mBoot.mStorePrefix },
           Sink())
{
}

EventSink Daemon::Sink()
{
  return [this](Event aEvent) { Deliver(std::move(aEvent)); };
}

Result<void> Daemon::Start()
{
  const netutil::Endpoint peers{ mBoot.mAddress, mBoot.mPeerPort };
  const netutil::Endpoint callers{ mBoot.mAddress, mBoot.mCallerPort };
  const netutil::Endpoint admin{ mBoot.mAdminAddress, mBoot.mAdminPort };
  Result<void> opened = mDatagrams.Listen(peers);
  if (opened) {
    opened = mStreams.Listen(peers);
  }
  if (opened) {
    opened = mAdmin.Listen(admin);
  }
  if (opened) {
    opened = mCallers.Listen(callers);
  }
  if (!opened) {
    return opened;
  }
  Record({ "started",
           { { "vm", mSelf.mVm.mName },
             { "incarnation", std::to_string(mSelf.mIncarnation.mNumber) },
             { "callers", netutil::ToString(callers) },
             { "peers", netutil::ToString(peers) },
             { "admin", netutil::ToString(admin) } } });
  CarryAll(mReducer.Start(ReadClock(), WallMilliseconds() / 1000));
  mVmList.Start();
  Tick();
  return {};
}

void Daemon::RequestShutdown()
{
  Record({ "shutdown_requested", {} });
  Deliver(event::ShutdownRequested{});
}

void Daemon::Deliver(Event aEvent)
{
  if (mIsDelivering) {
    mEvents.push_back(std::move(aEvent));
    return;
  }
  mIsDelivering = true;
  DeliverOne(aEvent);
  while (!mEvents.empty()) {
    const Event next = std::move(mEvents.front());
    mEvents.pop_front();
    DeliverOne(next);
  }
  mIsDelivering = false;
}

void Daemon::DeliverOne(const Event& aEvent)
{
  ++mMetrics.mEvents;
  CarryAll(mReducer.Reduce(aEvent, ReadClock(), WallMilliseconds() / 1000));
}

void Daemon::CarryAll(EffectList aEffects)
{
  for (const Effect& one : aEffects) {
    std::visit([this](const auto& aEffect) { Carry(aEffect); }, one);
  }
}

void Daemon::Tick()
{
  Deliver(event::Tick{});
  if (mReducer.GetMembership().IsDeclaredDead()) {
    // Others have taken over what this process owned. Going on would use its
    // fractions twice.
    Record({ "declared_dead", {} });
    mIsDeclaredDead = true;
    mContext.stop();
    return;
  }
  mTick.expires_after(event::kTickInterval);
  mTick.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Tick();
    }
  });
}

void Daemon::Record(effect::RecordTimeline aRecord)
{
  mTimeline.Record(std::move(aRecord), WallMilliseconds());
}

void Daemon::Carry(const effect::AnswerLookup& aEffect)
{
  const auto number = static_cast<std::uint64_t>(aEffect.mLookup);
  if (number >= AdminServer::kFirstLookup) {
    mAdmin.Carry(aEffect);
    return;
  }
  mCallers.Carry(aEffect);
}

void Daemon::Carry(const effect::SendMessage& aEffect)
{
  if (aEffect.mTo == mSelf.mVm) {
    Deliver(event::PeerMessageReceived{ .mFrom = mSelf,
                                        .mMessage = aEffect.mMessage });
    return;
  }
  netutil::Endpoint endpoint{ aEffect.mAddress, aEffect.mPort };
  if (endpoint.mAddress.empty()) {
    const Member* member = mReducer.GetMembership().Find(aEffect.mTo);
    if (!member) {
      ++mMetrics.mPeerMessagesDropped;
      return;
    }
    endpoint = { member->mUpdate.mAddress, member->mUpdate.mPeerPort };
  }
  const std::string envelope =
    EncodeEnvelope({ .mFrom = mSelf, .mMessage = aEffect.mMessage }, mCodec);
  if (aEffect.mTransport == effect::Transport::Datagram) {
    mDatagrams.Send(endpoint, envelope);
  } else {
    mStreams.Send(aEffect.mTo, endpoint, envelope);
  }
}

void Daemon::Carry(const effect::ConfigurationInForce& aEffect)
{
  mCallers.SetBodyLimit(LongestBody(*aEffect.mSnapshot));
  mBlocks.Apply(*aEffect.mSnapshot);
}

void Daemon::FinishAndExit()
{
  if (mIsFinishing) {
    return;
  }
  mIsFinishing = true;
  Record({ "stopped", {} });
  mCallers.Finish();
  mAdmin.Finish();
  mVmList.Stop();
  AwaitLastBytes(ReadClock() + kLastBytesLimit);
}

void Daemon::AwaitLastBytes(TimePoint aLimit)
{
  const bool isDone = mCallers.ConnectionCount() == 0 && !mStreams.HasUnsent();
  if (isDone || ReadClock() >= aLimit) {
    mContext.stop();
    return;
  }
  mExitTimer.expires_after(kLastBytesInterval);
  mExitTimer.async_wait([this, aLimit](boost::system::error_code aError) {
    if (!aError) {
      AwaitLastBytes(aLimit);
    }
  });
}

} // namespace cranberrywing::daemon
