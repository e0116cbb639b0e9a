// Whether this VM and the others reach backend servers, and what follows.
#include "reducer_state.h"

namespace cranberrywing {

void Reducer::State::OnHealthReported(const event::HealthReported& aEvent,
                                      TimePoint aNow,
                                      EffectList& aOut)
{
  mHealth.OnHealth(aEvent, aNow, aOut);
  if (!aEvent.mHasAnswered) {
    mReach.OnSuspicion(aNow);
  }
  const bool isDown = !aEvent.mHealthy && !aEvent.mDraining;
  if (isDown && !mReach.IsCutOff()) {
    mCrashGuard.OnServerDown(aEvent.mBackend, aNow, aOut);
  }
  if (mPendingReachChecks.erase(aEvent.mBackend) == 0) {
    return;
  }
  const auto suspectSince = mReach.SuspectSince().value_or(aNow);
  const auto change = mReach.OnChecked(aEvent.mHasAnswered, aNow);
  if (change == ServerReach::Change::Lost ||
      change == ServerReach::Change::Restored) {
    mSteering.Invalidate();
    const auto age =
      std::chrono::duration_cast<Milliseconds>(aNow - suspectSince);
    aOut.push_back(effect::RecordTimeline{
      mReach.IsCutOff() ? "server_links_lost" : "server_links_restored",
      { { "since_ms", std::to_string(age.count()) },
        { "others_reach", IsAnyReaching() ? "1" : "0" } } });
  }
}

void Reducer::State::OnServerReachStatus(
  const VmIncarnation& aFrom,
  const message::ServerReachStatus& aMessage,
  TimePoint aNow)
{
  if (aMessage.mIsCutOff) {
    mCutOffPeers[aFrom] = aNow + ServerReach::kStatementValidity;
  } else {
    mCutOffPeers.erase(aFrom);
  }
  mSteering.Invalidate();
}

void Reducer::State::CheckServerReach(TimePoint aNow, EffectList& aOut)
{
  std::erase_if(mCutOffPeers,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
  if (mReach.IsRoundDue(aNow)) {
    std::vector<ReachCandidate> candidates;
    if (mAppliedSettings) {
      for (const auto& [id, service] : mAppliedSettings->mServices) {
        for (const BackendSettings& backend : service.mBackends) {
          const BackendStatus* status = mHealth.Find(backend.mBackend);
          candidates.push_back({ backend.mBackend,
                                 backend.mFailureDomain,
                                 status && status->mLastSuccess
                                   ? *status->mLastSuccess
                                   : TimePoint{} });
        }
      }
    }
    const std::vector<BackendId> servers =
      SelectServersToCheck(std::move(candidates));
    mPendingReachChecks = { servers.begin(), servers.end() };
    mReach.StartRound(mPendingReachChecks.size(), aNow);
    for (const BackendId& id : mPendingReachChecks) {
      const BackendSettings& backend = mHealth.Find(id)->mSettings;
      aOut.push_back(
        effect::ProbeBackend{ id, backend.mAddress, backend.mPort });
    }
  }
  if (mReach.TakeStatementDue(aNow)) {
    for (const auto& [vm, member] : mMembership.Members()) {
      aOut.push_back(effect::SendMessage{
        .mTo = vm,
        .mMessage = message::ServerReachStatus{ mReach.IsCutOff() } });
    }
  }
}

bool Reducer::State::IsCutOff(const Member& aMember) const
{
  return mCutOffPeers.contains(aMember.mUpdate.mMember);
}

bool Reducer::State::IsAnyReaching() const
{
  return !mReach.IsCutOff() ||
         std::any_of(mMembership.Members().begin(),
                     mMembership.Members().end(),
                     [this](const auto& aEntry) {
                       return mMembership.IsUsable(aEntry.second) &&
                              !IsCutOff(aEntry.second);
                     });
}

bool Reducer::State::IsAvoided() const
{
  return mReach.IsCutOff() && IsAnyReaching();
}

bool Reducer::State::IsAvoided(const Member& aMember) const
{
  return IsCutOff(aMember) && IsAnyReaching();
}

} // namespace cranberrywing
