#include "cranberrywing/crash_guard.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cranberrywing {

namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
/// Bounds memory when very many connections end at one time.
constexpr std::size_t kMostResets = 10'000;

Duration FromMilliseconds(std::uint32_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

std::string ToHex(const ContentDigest& aDigest)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const std::uint64_t part : { aDigest.mHigh, aDigest.mLow }) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      hex += kDigits[(part >> shift) & 15u];
    }
  }
  return hex;
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

void CrashGuard::OnReset(const ContentDigest& aFingerprint,
                         const BackendId& aBackend,
                         TimePoint aNow)
{
  if (mResets.size() == kMostResets) {
    mResets.pop_front();
  }
  mResets.push_back({ aFingerprint, aBackend, aNow });
}

void CrashGuard::OnServerDown(const BackendId& aBackend,
                              TimePoint aNow,
                              EffectList& aOut)
{
  std::deque<Reset> others;
  for (Reset& reset : mResets) {
    if (reset.mBackend != aBackend) {
      others.push_back(std::move(reset));
    } else if (aNow - reset.mTime <= mOptions.mConfirmationTime) {
      CountLoss(reset, aNow, aOut);
    }
  }
  mResets = std::move(others);
}

void CrashGuard::CountLoss(const Reset& aReset,
                           TimePoint aNow,
                           EffectList& aOut)
{
  Suspicion& suspicion = mSuspicions[aReset.mFingerprint];
  suspicion.mUntil = aNow + mOptions.mBlockTime;
  std::vector<BackendId>& lost = suspicion.mLost;
  if (std::find(lost.begin(), lost.end(), aReset.mBackend) != lost.end()) {
    return;
  }
  lost.push_back(aReset.mBackend);
  if (lost.size() < mOptions.mServersLost) {
    return;
  }
  mSuspicions.erase(aReset.mFingerprint);
  Block(aReset.mFingerprint, aNow + mOptions.mBlockTime);
  const auto lifetime =
    std::chrono::duration_cast<Milliseconds>(mOptions.mBlockTime);
  mNewBlocks.push_back(
    { aReset.mFingerprint, static_cast<std::uint32_t>(lifetime.count()) });
  aOut.push_back(
    effect::RecordTimeline{ "request_blocked",
                            { { "fingerprint", ToHex(aReset.mFingerprint) },
                              { "last_backend", aReset.mBackend.mName } } });
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
  const Duration lifetime = std::min<Duration>(
    FromMilliseconds(aMessage.mLifetimeMs), mOptions.mBlockTime);
  Block(aMessage.mFingerprint, aNow + lifetime);
}

void CrashGuard::Tick(TimePoint aNow)
{
  if (aNow < mNextSweep) {
    return;
  }
  mNextSweep = aNow + kSweepInterval;
  while (!mResets.empty() &&
         aNow - mResets.front().mTime > mOptions.mConfirmationTime) {
    mResets.pop_front();
  }
  std::erase_if(mSuspicions,
                [&](const auto& aItem) { return aNow >= aItem.second.mUntil; });
  std::erase_if(mBlocks,
                [&](const auto& aItem) { return aNow >= aItem.second; });
}

std::vector<message::RequestBlock> CrashGuard::TakeNewBlocks()
{
  return std::exchange(mNewBlocks, {});
}

} // namespace cranberrywing
