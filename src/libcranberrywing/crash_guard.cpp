#include "cranberrywing/crash_guard.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cranberrywing {

namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
/// Bounds memory when very many connections end at one time.
constexpr std::size_t kMostSuspicions = 10'000;
/// Time within which a retry clears a request before peers are told.
constexpr Duration kClearingTime = std::chrono::seconds(1);
/// Losses told per sweep: each goes to every peer.
constexpr std::size_t kMostToldLosses = 16;

template<class Value>
void AddOnce(std::vector<Value>& aValues, const Value& aValue)
{
  if (std::find(aValues.begin(), aValues.end(), aValue) == aValues.end()) {
    aValues.push_back(aValue);
  }
}

} // namespace

ContentDigest FingerprintRequest(const RouteId& aRoute,
                                 const RequestContent& aContent)
{
  std::string head;
  head.reserve(aRoute.mName.size() + aContent.mMethod.size() +
               aContent.mTarget.size() + 18);
  head += aRoute.mName;
  head += '\n';
  head += aContent.mMethod;
  head += '\n';
  head += aContent.mTarget;
  head += '\n';
  const ContentDigest body = DigestContent(aContent.mBody);
  for (const std::uint64_t part : { body.mHigh, body.mLow }) {
    for (int shift = 0; shift < 64; shift += 8) {
      head += static_cast<char>((part >> shift) & 255u);
    }
  }
  return DigestContent(head);
}

CrashGuard::CrashGuard(Options aOptions)
  : mOptions(aOptions)
{
}

bool CrashGuard::IsBlocked(const ContentDigest& aFingerprint,
                           TimePoint aNow) const
{
  if (mBlocks.empty()) {
    return false;
  }
  const auto it = mBlocks.find(aFingerprint);
  return it != mBlocks.end() && aNow < it->second;
}

bool CrashGuard::IsSuspect(const ContentDigest& aFingerprint,
                           TimePoint aNow) const
{
  const auto it = mSuspicions.find(aFingerprint);
  if (it == mSuspicions.end()) {
    return false;
  }
  std::vector<BackendId> servers = it->second.mLost;
  for (const Reset& reset : it->second.mResets) {
    if (aNow - reset.mTime <= mOptions.mConfirmationTime) {
      AddOnce(servers, reset.mBackend);
    }
  }
  return servers.size() >= mOptions.mCrashThreshold;
}

void CrashGuard::OnReset(const ContentDigest& aFingerprint,
                         const BackendId& aBackend,
                         TimePoint aNow)
{
  const bool isKnown = mSuspicions.contains(aFingerprint);
  if (!isKnown && mSuspicions.size() >= kMostSuspicions) {
    return;
  }
  Suspicion& suspicion = mSuspicions[aFingerprint];
  suspicion.mResets.push_back({ aBackend, aNow });
  suspicion.mUntil =
    std::max(suspicion.mUntil, aNow + mOptions.mConfirmationTime);
}

void CrashGuard::OnServerDown(const BackendId& aBackend,
                              TimePoint aNow,
                              EffectList& aOut)
{
  std::vector<ContentDigest> ran;
  for (auto& [fingerprint, suspicion] : mSuspicions) {
    const std::size_t removed =
      std::erase_if(suspicion.mResets, [&](const Reset& aReset) {
        return aReset.mBackend == aBackend &&
               aNow - aReset.mTime <= mOptions.mConfirmationTime;
      });
    if (removed > 0) {
      ran.push_back(fingerprint);
    }
  }
  std::sort(ran.begin(), ran.end());
  for (const ContentDigest& fingerprint : ran) {
    if (!CountLoss(fingerprint, aBackend, aNow)) {
      mLosses.push_back({ fingerprint, aBackend, aNow });
      continue;
    }
    const auto lifetime =
      std::chrono::duration_cast<Milliseconds>(mOptions.mBlockTime);
    mNewBlocks.push_back(
      { fingerprint, static_cast<std::uint32_t>(lifetime.count()), {} });
    aOut.push_back(
      effect::RecordTimeline{ "request_blocked",
                              { { "fingerprint", ToHex(fingerprint) },
                                { "last_backend", aBackend.mName } } });
  }
}

bool CrashGuard::CountLoss(const ContentDigest& aFingerprint,
                           const BackendId& aBackend,
                           TimePoint aNow)
{
  Suspicion& suspicion = mSuspicions[aFingerprint];
  suspicion.mUntil = aNow + mOptions.mBlockTime;
  AddOnce(suspicion.mLost, aBackend);
  if (suspicion.mLost.size() < mOptions.mCrashThreshold) {
    return false;
  }
  mSuspicions.erase(aFingerprint);
  Block(aFingerprint, aNow + mOptions.mBlockTime);
  return true;
}

void CrashGuard::Block(const ContentDigest& aFingerprint, TimePoint aUntil)
{
  TimePoint& until = mBlocks[aFingerprint];
  until = std::max(until, aUntil);
}

void CrashGuard::OnSuccess(const ContentDigest& aFingerprint)
{
  if (!mSuspicions.empty()) {
    mSuspicions.erase(aFingerprint);
  }
}

void CrashGuard::OnMessage(const message::RequestBlock& aMessage,
                           TimePoint aNow)
{
  if (!aMessage.mLost.IsEmpty()) {
    CountLoss(aMessage.mFingerprint, aMessage.mLost, aNow);
    return;
  }
  const Duration lifetime =
    std::min<Duration>(Milliseconds(aMessage.mLifetimeMs), mOptions.mBlockTime);
  Block(aMessage.mFingerprint, aNow + lifetime);
}

void CrashGuard::Tick(TimePoint aNow)
{
  if (aNow < mNextSweep) {
    return;
  }
  mNextSweep = aNow + kSweepInterval;
  TellLosses(aNow);
  std::erase_if(mSuspicions,
                [&](const auto& aItem) { return aNow >= aItem.second.mUntil; });
  std::erase_if(mBlocks,
                [&](const auto& aItem) { return aNow >= aItem.second; });
}

void CrashGuard::TellLosses(TimePoint aNow)
{
  std::size_t told = 0;
  while (!mLosses.empty() && told < kMostToldLosses &&
         aNow - mLosses.front().mTime >= kClearingTime) {
    const Loss& loss = mLosses.front();
    const auto it = mSuspicions.find(loss.mFingerprint);
    if (it != mSuspicions.end() && !it->second.mLost.empty()) {
      mNewBlocks.push_back({ loss.mFingerprint, 0, loss.mBackend });
      ++told;
    }
    mLosses.pop_front();
  }
}

std::vector<message::RequestBlock> CrashGuard::TakeNewBlocks()
{
  return std::exchange(mNewBlocks, {});
}

} // namespace cranberrywing
