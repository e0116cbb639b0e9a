#include "cranberrywingd/daemon.h"

#include <algorithm>
#include <random>

namespace cranberrywing::daemon {

namespace {

/// Maximum wait for pending answers and peer messages to be sent before exit.
constexpr std::chrono::seconds kExitFlushTimeout{ 1 };
constexpr Milliseconds kExitFlushPollInterval{ 10 };
/// Minimum body limit, so that requests which match no route are answered as
/// such and not rejected for their size.
constexpr std::uint64_t kMinBodyLimitBytes = 64 * 1024;

MemberUpdate MakeSelfUpdate(const BootSettings& aBoot, Incarnation aIncarnation)
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

/// The configured seeds without this VM itself.
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
  options.mSelf = MakeSelfUpdate(aOptions.mBoot, aOptions.mIncarnation);
  options.mSeeds = MakeSeeds(aOptions.mBoot);
  options.mInitialDocument = aOptions.mInitialDocument;
  options.mStorePrefix = aOptions.mBoot.mStorePrefix;
  options.mSeed = aOptions.mSeed;
  return options;
}

/// Largest body limit of all routes.
std::uint64_t MaxBodyBytes(const SettingsSnapshot& aSettings)
{
  std::uint64_t maxBytes = kMinBodyLimitBytes;
  for (const RouteSettings& route : aSettings.mRoutes) {
    maxBytes = std::max(maxBytes, route.mMaxBodyBytes);
  }
  for (const auto& [key, route] : aSettings.mOverrides) {
    maxBytes = std::max(maxBytes, route.mMaxBodyBytes);
  }
  return maxBytes;
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
  ExecuteAll(mReducer.Start(ReadClock(), WallMilliseconds() / 1000));
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
  ReduceEvent(aEvent);
  while (!mEvents.empty()) {
    const Event next = std::move(mEvents.front());
    mEvents.pop_front();
    ReduceEvent(next);
  }
  mIsDelivering = false;
}

void Daemon::ReduceEvent(const Event& aEvent)
{
  ++mMetrics.mEvents;
  ExecuteAll(mReducer.Reduce(aEvent, ReadClock(), WallMilliseconds() / 1000));
}

void Daemon::ExecuteAll(EffectList aEffects)
{
  for (const Effect& one : aEffects) {
    std::visit([this](const auto& aEffect) { Execute(aEffect); }, one);
  }
}

void Daemon::Tick()
{
  Deliver(event::Tick{});
  if (mReducer.GetMembership().IsDeclaredDead()) {
    // Peers have taken over this process's slots and its fractions of rates
    // and spare capacity. If it continued, the fractions would be used twice.
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

void Daemon::Execute(const effect::AnswerLookup& aEffect)
{
  const auto number = static_cast<std::uint64_t>(aEffect.mLookup);
  if (number >= AdminServer::kFirstLookupId) {
    mAdmin.Execute(aEffect);
    return;
  }
  mCallers.Execute(aEffect);
}

void Daemon::Execute(const effect::SendMessage& aEffect)
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

void Daemon::Execute(const effect::ConfigurationInForce& aEffect)
{
  mCallers.SetBodyLimit(MaxBodyBytes(*aEffect.mSnapshot));
  mBlocks.Apply(*aEffect.mSnapshot);
}

void Daemon::FinishAndExit()
{
  if (mIsFinishing) {
    return;
  }
  mIsFinishing = true;
  Record({ "stopped", {} });
  mCallers.Shutdown();
  mAdmin.Shutdown();
  mVmList.Stop();
  WaitForPendingOutput(ReadClock() + kExitFlushTimeout);
}

void Daemon::WaitForPendingOutput(TimePoint aLimit)
{
  const bool isDone = mCallers.ConnectionCount() == 0 && !mStreams.HasUnsent();
  if (isDone || ReadClock() >= aLimit) {
    mContext.stop();
    return;
  }
  mExitTimer.expires_after(kExitFlushPollInterval);
  mExitTimer.async_wait([this, aLimit](boost::system::error_code aError) {
    if (!aError) {
      WaitForPendingOutput(aLimit);
    }
  });
}

} // namespace cranberrywing::daemon
