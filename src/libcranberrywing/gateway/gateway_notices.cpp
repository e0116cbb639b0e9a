#include "cranberrywing/gateway/gateway.h"
#include "request_limits.h"

namespace cranberrywing::gateway {

using detail::ToMs;

namespace {

/// Bounds a message to a datagram of about 1 KB.
constexpr std::size_t kMaxServersPerMessage = 120;

} // namespace

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

void Gateway::TellLeavingServers(const VmId& aVm)
{
  message::BackendsLeaving leaving;
  for (const auto& [id, backend] : mPool.All()) {
    if (mPool.Notices().IsLeaving(backend->mLifetimeHash) &&
        leaving.mBackends.size() < kMaxServersPerMessage) {
      leaving.mBackends.push_back(backend->mLifetimeHash);
    }
  }
  const auto it = mFleet.Peers().find(aVm);
  if (it != mFleet.Peers().end() && !leaving.mBackends.empty()) {
    const VmRecord& record = it->second.mRecord;
    SendTo({ aVm, record.mAddress, record.mPeerPort }, std::move(leaving));
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
    } else {
      // The registration may not have been read yet.
      mPool.Notices().OnLeaving(lifetime, NoticeSource::OtherVm, mNow);
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
