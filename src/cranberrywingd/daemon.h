/// \file
/// The daemon: one reducer, the I/O modules that deliver events to it and
/// execute its effects, and a periodic tick.
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
  /// Settings that apply until settings arrive from the store or a peer; may be
  /// empty.
  std::string mInitialDocument;
  /// Messages are signed with the first secret and accepted with any of them.
  /// An empty list stands for one empty secret.
  std::vector<std::string> mPeerSecrets;
  Incarnation mIncarnation;
  std::uint64_t mSeed = 1;
};

/// Creates an incarnation number for this process: wall-clock milliseconds in
/// the upper bits, 16 random bits in the lower.
Incarnation MakeIncarnation();

/// Not thread-safe; used only on the event loop's thread.
class Daemon
{
public:
  Daemon(boost::asio::io_context& aContext, DaemonOptions aOptions);

  /// Opens all ports, then starts the core. Errors: InvalidArgument with the
  /// address that cannot be opened.
  Result<void> Start();
  /// Starts a graceful shutdown; the event loop is stopped when it is complete.
  void RequestShutdown();
  /// Whether the event loop was stopped because peers have declared this
  /// process dead.
  bool IsDeclaredDead() const { return mIsDeclaredDead; }

private:
  /// Passes the event to the reducer and executes the effects. If called while
  /// effects are executed, the event is queued until they are done.
  void Deliver(Event aEvent);
  void ReduceEvent(const Event& aEvent);
  void ExecuteAll(EffectList aEffects);
  void Tick();
  void Record(effect::RecordTimeline aRecord);
  /// Stops the event loop once all answers and peer messages are sent.
  void FinishAndExit();
  /// Stops the event loop when no output is pending, at aLimit at the latest.
  void WaitForPendingOutput(TimePoint aLimit);

  void Execute(const effect::Dispatch& aEffect) { mBackends.Execute(aEffect); }
  void Execute(const effect::CancelDispatch& aEffect)
  {
    mBackends.Execute(aEffect);
  }
  void Execute(const effect::CloseBackendConnections& aEffect)
  {
    mBackends.Execute(aEffect);
  }
  void Execute(const effect::Respond& aEffect) { mCallers.Execute(aEffect); }
  void Execute(const effect::Refuse& aEffect) { mCallers.Execute(aEffect); }
  void Execute(const effect::AnswerTicket& aEffect)
  {
    mCallers.Execute(aEffect);
  }
  void Execute(const effect::AnswerLookup& aEffect);
  void Execute(const effect::SendMessage& aEffect);
  void Execute(const effect::CallStore& aEffect) { mStore.Execute(aEffect); }
  void Execute(const effect::WatchStore& aEffect) { mWatches.Execute(aEffect); }
  void Execute(const effect::CancelWatch& aEffect)
  {
    mWatches.Execute(aEffect);
  }
  void Execute(const effect::ProbeBackend& aEffect)
  {
    mProber.Execute(aEffect);
  }
  void Execute(const effect::AnswerEdit& aEffect) { mAdmin.Execute(aEffect); }
  void Execute(const effect::ConfigurationInForce& aEffect);
  void Execute(const effect::RecordTimeline& aEffect) { Record(aEffect); }
  void Execute(const effect::Exit&) { FinishAndExit(); }

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
