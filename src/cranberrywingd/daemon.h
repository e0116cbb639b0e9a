/// \file
/// The daemon: one reducer, the modules that feed it events and carry out its
/// effects, and the event loop's tick.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "cranberrywingd/admin_server.h"
#include "cranberrywingd/backend_client.h"
#include "cranberrywingd/backend_prober.h"
#include "cranberrywingd/block_loader.h"
#include "cranberrywingd/boot_settings.h"
#include "cranberrywingd/caller_server.h"
#include "cranberrywingd/peer_datagrams.h"
#include "cranberrywingd/peer_streams.h"
#include "cranberrywingd/vm_list_poller.h"
#include "cranberrywingd/watch_client.h"

namespace cranberrywing::daemon {

struct DaemonOptions
{
  /// Completed by CompleteBootSettings.
  BootSettings mBoot;
  /// Settings in force until the store or a peer gives some; may be empty.
  std::string mInitialDocument;
  /// The first signs and every one verifies; none stands for the empty secret.
  std::vector<std::string> mPeerSecrets;
  Incarnation mIncarnation;
  std::uint64_t mSeed = 1;
};

/// A new incarnation: wall-clock milliseconds, then 16 random bits.
Incarnation MakeIncarnation();

/// Not thread-safe; belongs to the event loop's thread.
class Daemon
{
public:
  Daemon(boost::asio::io_context& aContext, DaemonOptions aOptions);

  /// Opens every port, then starts the core. Errors: InvalidArgument with
  /// the address that cannot be used.
  Result<void> Start();
  /// Starts the planned stop, after which the event loop is stopped.
  void RequestShutdown();
  /// Whether the loop was stopped because peers hold a proof that this
  /// process has ended.
  bool IsDeclaredDead() const { return mIsDeclaredDead; }

private:
  void Deliver(Event aEvent);
  void DeliverOne(const Event& aEvent);
  void CarryAll(EffectList aEffects);
  void Tick();
  void Record(effect::RecordTimeline aRecord);
  /// Stops the loop once the last answers and messages are sent.
  void FinishAndExit();
  void AwaitLastBytes(TimePoint aLimit);

  void Carry(const effect::Dispatch& aEffect) { mBackends.Carry(aEffect); }
  void Carry(const effect::CancelDispatch& aEffect)
  {
    mBackends.Carry(aEffect);
  }
  void Carry(const effect::CloseBackendConnections& aEffect)
  {
    mBackends.Carry(aEffect);
  }
  void Carry(const effect::Respond& aEffect) { mCallers.Carry(aEffect); }
  void Carry(const effect::Refuse& aEffect) { mCallers.Carry(aEffect); }
  void Carry(const effect::AnswerTicket& aEffect) { mCallers.Carry(aEffect); }
  void Carry(const effect::AnswerLookup& aEffect);
  void Carry(const effect::SendMessage& aEffect);
  void Carry(const effect::CallStore& aEffect) { mStore.Carry(aEffect); }
  void Carry(const effect::WatchStore& aEffect) { mWatches.Carry(aEffect); }
  void Carry(const effect::CancelWatch& aEffect) { mWatches.Carry(aEffect); }
  void Carry(const effect::ProbeBackend& aEffect) { mProber.Carry(aEffect); }
  void Carry(const effect::AnswerEdit& aEffect) { mAdmin.Carry(aEffect); }
  void Carry(const effect::ConfigurationInForce& aEffect);
  void Carry(const effect::RecordTimeline& aEffect) { Record(aEffect); }
  void Carry(const effect::Exit&) { FinishAndExit(); }

  EventSink Sink();

  boost::asio::io_context& mContext;
  BootSettings mBoot;
  VmIncarnation mSelf;
  MessageCodec mCodec;
  Reducer mReducer;
  DaemonMetrics mMetrics;
  Timeline mTimeline;
  std::deque<Event> mEvents;
  bool mIsDelivering = false;
  bool mIsFinishing = false;
  bool mIsDeclaredDead = false;
  boost::asio::steady_timer mTick;
  boost::asio::steady_timer mExitTimer;
  CallerServer mCallers;
  BackendClient mBackends;
  BackendProber mProber;
  PeerDatagrams mDatagrams;
  PeerStreams mStreams;
  StoreClient mStore;
  WatchClient mWatches;
  VmListPoller mVmList;
  BlockLoader mBlocks;
  AdminServer mAdmin;
};

} // namespace cranberrywing::daemon
