// Fetches configurations from peers and serves them to peers.

#include "configuration_delta.h"
#include "cranberrywing/configuration.h"

namespace cranberrywing {

namespace {

/// Time after which the next peer is asked. A transfer takes milliseconds; one
/// second also covers a lost connection.
constexpr Duration kFetchTimeout = std::chrono::seconds(1);

/// Maximum number of peers remembered as having a newer configuration.
constexpr std::size_t kMaxNewerPeers = 8;

effect::SendMessage MakeStream(const VmId& aTo, Message aMessage)
{
  effect::SendMessage send;
  send.mTo = aTo;
  send.mTransport = effect::Transport::Stream;
  send.mMessage = std::move(aMessage);
  return send;
}

} // namespace

void Configuration::OnPeerVersion(const VmId& aFrom,
                                  const ConfigurationVersion& aVersion,
                                  TimePoint aNow,
                                  EffectList& aOut)
{
  mPeerVersionSeen = mPeerVersionSeen || aVersion.mRevision > Revision();
  if (aVersion.mRevision <= mCurrent->mRevision ||
      aVersion == mRejectedVersion) {
    return;
  }
  RemoveNewerPeer(aFrom);
  if (mNewerPeers.size() == kMaxNewerPeers) {
    mNewerPeers.erase(mNewerPeers.begin());
  }
  mNewerPeers.push_back({ aFrom, aVersion });
  // A newer version supersedes the one being fetched.
  if (!mFetch || mFetch->mVersion.mRevision < aVersion.mRevision) {
    FetchFromNewestPeer(aNow, aOut);
  }
}

void Configuration::RemoveNewerPeer(const VmId& aVm)
{
  std::erase_if(mNewerPeers,
                [&](const NewerPeer& aPeer) { return aPeer.mVm == aVm; });
}

void Configuration::FetchFromNewestPeer(TimePoint aNow, EffectList& aOut)
{
  mFetch.reset();
  const NewerPeer* best = nullptr;
  for (const NewerPeer& peer : mNewerPeers) {
    // Among equal versions the last peer is preferred, as it was heard from
    // most recently.
    if (!best || peer.mVersion.mRevision >= best->mVersion.mRevision) {
      best = &peer;
    }
  }
  if (best) {
    mFetch = Fetch{ .mVersion = best->mVersion, .mFrom = best->mVm };
    SendFetch(false, aNow, aOut);
  }
}

void Configuration::SendFetch(bool aFullDocument,
                              TimePoint aNow,
                              EffectList& aOut)
{
  mFetch->mFullDocument = aFullDocument;
  mFetch->mSince = aNow;
  message::ConfigurationRequest request;
  request.mVersion = mFetch->mVersion;
  if (!aFullDocument) {
    request.mBase = Version();
  }
  aOut.push_back(MakeStream(mFetch->mFrom, std::move(request)));
}

void Configuration::CheckFetch(TimePoint aNow, EffectList& aOut)
{
  if (!mFetch || aNow - mFetch->mSince < kFetchTimeout) {
    return;
  }
  RemoveNewerPeer(mFetch->mFrom);
  FetchFromNewestPeer(aNow, aOut);
}

const std::string* Configuration::FindCachedDocument(
  const ConfigurationVersion& aVersion) const
{
  for (const CachedDocument& cached : mCachedDocuments) {
    if (cached.mVersion == aVersion) {
      return &cached.mDocument;
    }
  }
  return nullptr;
}

void Configuration::OnMessage(const VmId& aFrom,
                              const message::ConfigurationRequest& aMessage,
                              TimePoint,
                              EffectList& aOut)
{
  // The active configuration may be newer than the requested one.
  if (mCurrent->mRevision < aMessage.mVersion.mRevision ||
      mCurrent->mRevision == Revision()) {
    return;
  }
  const std::string* base = FindCachedDocument(aMessage.mBase);
  if (base && (mLastDelta.mVersion != Version() ||
               mLastDelta.mBase != aMessage.mBase)) {
    mLastDelta = { .mVersion = Version(),
                   .mBase = aMessage.mBase,
                   .mDocument = {},
                   .mEdits = detail::MakeLineEdits(*base, mDocument) };
  }
  if (base && detail::EstimatedSize(mLastDelta.mEdits) < mDocument.size()) {
    aOut.push_back(MakeStream(aFrom, mLastDelta));
    return;
  }
  message::ConfigurationBody full;
  full.mVersion = Version();
  full.mDocument = mDocument;
  aOut.push_back(MakeStream(aFrom, std::move(full)));
}

void Configuration::OnMessage(const VmId& aFrom,
                              const message::ConfigurationBody& aMessage,
                              TimePoint aNow,
                              EffectList& aOut)
{
  if (aMessage.mVersion.mRevision <= mCurrent->mRevision) {
    return;
  }
  const bool isDelta = aMessage.mBase.mRevision > Revision();
  const bool isAwaited = mFetch && mFetch->mFrom == aFrom;
  Result<std::string> document = aMessage.mDocument;
  if (isDelta) {
    const std::string* base = FindCachedDocument(aMessage.mBase);
    document = base ? detail::ApplyLineEdits(*base, aMessage.mEdits)
                    : MakeError(ResultCode::Malformed,
                                "the base of the delta is not cached");
  }
  if (!document || DigestContent(*document) != aMessage.mVersion.mDigest) {
    aOut.push_back(effect::RecordTimeline{
      "configuration_body_damaged",
      { { "from", aFrom.mName }, { "delta", isDelta ? "true" : "false" } } });
    if (isAwaited && !mFetch->mFullDocument) {
      SendFetch(true, aNow, aOut);
    } else if (isAwaited) {
      RemoveNewerPeer(aFrom);
      FetchFromNewestPeer(aNow, aOut);
    }
    return;
  }
  Activate(aMessage.mVersion, *document, aFrom.mName, aNow, aOut);
  if (isAwaited) {
    RemoveNewerPeer(aFrom);
    FetchFromNewestPeer(aNow, aOut);
  } else if (mFetch && mFetch->mVersion.mRevision <= mCurrent->mRevision) {
    FetchFromNewestPeer(aNow, aOut);
  }
}

} // namespace cranberrywing
