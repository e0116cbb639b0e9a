#include <algorithm>
#include <set>

#include "cranberrywing/gateway/gateway.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::ToMs;

namespace {

/// A request is overdue if no server has answered for this time and for
/// kOverdueFactor times the expected duration of the request.
constexpr Duration kMinOverdueTime = std::chrono::milliseconds(500);
constexpr double kOverdueFactor = 1.5;
/// Number of servers with overdue requests that make the VM suspect that its
/// links are lost.
constexpr std::size_t kOverdueServers = 2;
/// Failures up to this long before the first suspicion are attributed to the
/// loss of the links.
constexpr Duration kBlameTime = std::chrono::seconds(1);
/// While cut off, open connections are used for this time after the last
/// answer: they can live on although no new connection can be opened.
constexpr Duration kLiveConnectionTime = std::chrono::seconds(1);

} // namespace

bool Gateway::HasOpenServerConnections() const
{
  return mNow - mLastAnswerAt <= kLiveConnectionTime;
}

bool Gateway::CanSendToServers() const
{
  return !mServerReach.IsCutOff() || mServerReach.IsReturning() ||
         HasOpenServerConnections();
}

bool Gateway::IsOverdue(const Request& aRequest) const
{
  const Duration limit =
    std::max(kMinOverdueTime,
             Duration(static_cast<Duration::rep>(
               kOverdueFactor *
               static_cast<double>(aRequest.mCurrent.mExpectedTotal.count()))));
  return !aRequest.mCurrent.mBackend.IsEmpty() &&
         mNow - std::max(aRequest.mCurrent.mSentAt, mLastAnswerAt) > limit;
}

void Gateway::SuspectOverdueServers()
{
  std::set<BackendId> overdue;
  for (const auto& [id, request] : mRequests) {
    if (IsOverdue(request)) {
      overdue.insert(request.mCurrent.mBackend);
    }
  }
  if (overdue.size() >= kOverdueServers) {
    mServerReach.OnSuspicion(mNow);
  }
}

void Gateway::CheckServerReach()
{
  SuspectOverdueServers();
  if (mServerReach.IsRoundDue(mNow)) {
    std::vector<ReachCandidate> candidates;
    for (const auto& [id, backend] : mPool.All()) {
      candidates.push_back(
        { id, backend->mEntry.mFailureDomain, backend->mAnsweredAt });
    }
    const std::vector<BackendId> servers =
      SelectServersToCheck(std::move(candidates));
    mServerReach.StartRound(servers.size(), mNow);
    for (const BackendId& id : servers) {
      const BackendEntry& entry = mPool.Find(id)->mEntry;
      mEffects.push_back(effect::CheckServer{
        .mBackend = id, .mAddress = entry.mAddress, .mPort = entry.mPort });
    }
  }
  TellServerReach();
  GiveUpOverdueRequests();
}

bool Gateway::SendsCallersAway() const
{
  return mStoppingSince ||
         (mServerReach.IsCutOff() && mFleet.HasReachingPeer(mNow));
}

void Gateway::GiveUpOverdueRequests()
{
  if (!mServerReach.IsCutOff() || !mFleet.HasReachingPeer(mNow)) {
    return;
  }
  std::vector<RequestId> overdue;
  for (const auto& [id, request] : mRequests) {
    if (request.mRoute && request.mRoute->mIsIdempotent && IsOverdue(request)) {
      overdue.push_back(id);
    }
  }
  for (const RequestId id : overdue) {
    Request& request = mRequests.at(id);
    mEffects.push_back(effect::CancelDispatch{ id, request.mCurrent.mNumber });
    EndAttempt(request, false);
    RefuseOutcomeUnknown(request, "server_links_lost");
  }
}

void Gateway::On(const event::ServerChecked& aEvent)
{
  const auto suspectSince = mServerReach.SuspectSince();
  switch (mServerReach.OnChecked(aEvent.mIsReached, mNow)) {
    case ServerReach::Change::None:
      return;
    case ServerReach::Change::SuspicionCleared:
      for (const BackendId& backend : std::exchange(mSuspectedServers, {})) {
        OnBackendDown(backend);
      }
      return;
    case ServerReach::Change::Lost:
      mSuspectedServers.clear();
      ++mCounters.mServerLinkLosses;
      break;
    case ServerReach::Change::Restored:
      break;
  }
  // The servers are not to blame for what failed while the links were down.
  const std::size_t forgiven =
    mPool.ForgiveFailures(suspectSince.value_or(mNow) - kBlameTime, mNow);
  TellServerReach();
  const bool isCutOff = mServerReach.IsCutOff();
  Record(isCutOff ? "server_links_lost" : "server_links_restored",
         { { "since_ms", ToMs(mNow - suspectSince.value_or(mNow)) },
           { "last_answer_ms", ToMs(mNow - mLastAnswerAt) },
           { "forgiven_servers", std::to_string(forgiven) },
           { "in_flight", std::to_string(mRequests.size()) },
           { "others_reach", mFleet.HasReachingPeer(mNow) ? "1" : "0" } });
}

void Gateway::OnUnreachable(const BackendId& aBackend)
{
  if (mServerReach.IsCutOff()) {
    return;
  }
  mServerReach.OnSuspicion(mNow);
  if (Backend* const backend = mPool.Find(aBackend)) {
    mPool.Eject(*backend, mNow);
  }
  mSuspectedServers.push_back(aBackend);
}

void Gateway::TellServerReach()
{
  if (!mServerReach.TakeStatementDue(mNow)) {
    return;
  }
  for (const auto& [id, peer] : mFleet.Peers()) {
    if (IsReceiver(peer)) {
      SendTo({ id, peer.mRecord.mAddress, peer.mRecord.mPeerPort },
             message::ServerReachStatus{ mServerReach.IsCutOff() });
    }
  }
}

} // namespace cranberrywing::gateway
