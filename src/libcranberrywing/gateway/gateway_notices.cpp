#include "cranberrywing/gateway/gateway.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::ToMs;

void Gateway::HeedNotices(const Backend& aBackend,
                          bool aIsLeaving,
                          std::optional<Duration> aWait,
                          NoticeSource aSource)
{
  if (aIsLeaving && MarkLeaving(aBackend, aSource)) {
    for (const auto& [id, peer] : mFleet.Peers()) {
      if (IsReceiver(peer)) {
        SendTo({ id, peer.mRecord.mAddress, peer.mRecord.mPeerPort },
               message::BackendsLeaving{ { aBackend.mLifetimeHash } });
      }
    }
  }
  if (aWait &&
      mPool.Notices().OnWait(aBackend.mLifetimeHash, *aWait, aSource, mNow)) {
    Record("backend_waits",
           { { "backend", aBackend.mEntry.mBackend.mName },
             { "wait_ms", ToMs(*aWait) },
             { "source", std::string(ToString(aSource)) } });
  }
}

bool Gateway::MarkLeaving(const Backend& aBackend, NoticeSource aSource)
{
  if (!mPool.Notices().OnLeaving(aBackend.mLifetimeHash, aSource, mNow)) {
    return false;
  }
  mEffects.push_back(effect::CloseBackendConnections{ aBackend.mEntry.mAddress,
                                                      aBackend.mEntry.mPort });
  Record("backend_leaving",
         { { "backend", aBackend.mEntry.mBackend.mName },
           { "draining", aBackend.mEntry.mIsDraining ? "1" : "0" },
           { "source", std::string(ToString(aSource)) } });
  return true;
}

void Gateway::OnMessage(const message::BackendsLeaving& aMessage)
{
  for (const std::uint64_t lifetime : aMessage.mBackends) {
    if (const Backend* const backend = mPool.FindLifetime(lifetime)) {
      MarkLeaving(*backend, NoticeSource::OtherVm);
    }
  }
}

std::optional<Duration> Gateway::ShortestWait(const ServiceId& aService) const
{
  std::optional<Duration> shortest;
  for (const Backend* const backend : mPool.BackendsOfService(aService)) {
    if (mPool.IsEligible(*backend) && mPool.IsWaiting(*backend, mNow)) {
      const Duration wait =
        mPool.Notices().WaitEnd(backend->mLifetimeHash) - mNow;
      shortest = std::min(wait, shortest.value_or(wait));
    }
  }
  return shortest;
}

} // namespace cranberrywing::gateway
