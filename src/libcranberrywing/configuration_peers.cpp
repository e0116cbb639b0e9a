// Bodies of configurations from and for peers.

#include "configuration_delta.h"
#include "cranberrywing/configuration.h"

namespace cranberrywing {

namespace {

/// Time after which another peer is asked. A body goes over one connection
/// within milliseconds; a second covers a lost connection.
constexpr Duration kFetchTimeout = std::chrono::seconds(1);

/// Peers remembered as holders of a newer configuration.
constexpr std::size_t kMostHolders = 8;

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
  mHeardVersion = mHeardVersion || aVersion.mRevision > Revision();
  if (aVersion.mRevision <= mCurrent->mRevision || aVersion == mUnusable) {
    return;
  }
  DropHolder(aFrom);
  if (mHolders.size() == kMostHolders) {
    mHolders.erase(mHolders.begin());
  }
  mHolders.push_back({ aFrom, aVersion });
  // A newer version than the one being fetched makes that fetch useless.
  if (!mFetch || mFetch->mVersion.mRevision < aVersion.mRevision) {
    StartFetch(aNow, aOut);
  }
}

void Configuration::DropHolder(const VmId& aVm)
{
  std::erase_if(mHolders,
                [&](const Holder& aHolder) { return aHolder.mVm == aVm; });
}

void Configuration::StartFetch(TimePoint aNow, EffectList& aOut)
{
  mFetch.reset();
  const Holder* best = nullptr;
  for (const Holder& holder : mHolders) {
    // The latest of equal ones: it answered most recently.
    if (!best || holder.mVersion.mRevision >= best->mVersion.mRevision) {
      best = &holder;
    }
  }
  if (best) {
    mFetch = Fetch{ .mVersion = best->mVersion, .mFrom = best->mVm };
    SendFetch(false, aNow, aOut);
  }
}

void Configuration::SendFetch(bool aWhole, TimePoint aNow, EffectList& aOut)
{
  mFetch->mWhole = aWhole;
  mFetch->mSince = aNow;
  message::ConfigurationRequest request;
  request.mVersion = mFetch->mVersion;
  if (!aWhole) {
    request.mBase = Version();
  }
  aOut.push_back(MakeStream(mFetch->mFrom, std::move(request)));
}

void Configuration::CheckFetch(TimePoint aNow, EffectList& aOut)
{
  if (!mFetch || aNow - mFetch->mSince < kFetchTimeout) {
    return;
  }
  DropHolder(mFetch->mFrom);
  StartFetch(aNow, aOut);
}

const std::string* Configuration::FindBody(
  const ConfigurationVersion& aVersion) const
{
  for (const KeptBody& body : mKept) {
    if (body.mVersion == aVersion) {
      return &body.mDocument;
    }
  }
  return nullptr;
}

void Configuration::OnMessage(const VmId& aFrom,
                              const message::ConfigurationRequest& aMessage,
                              TimePoint,
                              EffectList& aOut)
{
  // What is in force here may be newer than what was asked for.
  if (mCurrent->mRevision < aMessage.mVersion.mRevision ||
      mCurrent->mRevision == Revision()) {
    return;
  }
  const std::string* base = FindBody(aMessage.mBase);
  if (base && (mLastDelta.mVersion != Version() ||
               mLastDelta.mBase != aMessage.mBase)) {
    mLastDelta = { .mVersion = Version(),
                   .mBase = aMessage.mBase,
                   .mDocument = {},
                   .mEdits = detail::MakeLineEdits(*base, mDocument) };
  }
  if (base && detail::SizeOf(mLastDelta.mEdits) < mDocument.size()) {
    aOut.push_back(MakeStream(aFrom, mLastDelta));
    return;
  }
  message::ConfigurationBody whole;
  whole.mVersion = Version();
  whole.mDocument = mDocument;
  aOut.push_back(MakeStream(aFrom, std::move(whole)));
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
    const std::string* base = FindBody(aMessage.mBase);
    document = base ? detail::ApplyLineEdits(*base, aMessage.mEdits)
                    : MakeError(ResultCode::Malformed, "unknown base");
  }
  if (!document || DigestContent(*document) != aMessage.mVersion.mDigest) {
    aOut.push_back(effect::RecordTimeline{
      "configuration_body_damaged",
      { { "from", aFrom.mName }, { "delta", isDelta ? "true" : "false" } } });
    if (isAwaited && !mFetch->mWhole) {
      SendFetch(true, aNow, aOut);
    } else if (isAwaited) {
      DropHolder(aFrom);
      StartFetch(aNow, aOut);
    }
    return;
  }
  Take(aMessage.mVersion, *document, aFrom.mName, aNow, aOut);
  if (isAwaited) {
    DropHolder(aFrom);
    StartFetch(aNow, aOut);
  } else if (mFetch && mFetch->mVersion.mRevision <= mCurrent->mRevision) {
    StartFetch(aNow, aOut);
  }
}

} // namespace cranberrywing
