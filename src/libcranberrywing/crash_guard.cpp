#include "cranberrywing/crash_guard.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cranberrywing {

namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
/// Bounds memory when a very large number of connections is reset at once.
constexpr std::size_t kMaxSuspects = 10'000;
/// Delay before a crash is reported to peers, so that a successful retry can
/// clear the request first.
constexpr Duration kReportDelay = std::chrono::seconds(1);
/// Crashes reported per sweep; bounded because each is sent to every peer.
constexpr std::size_t kMaxReportsPerSweep = 16;

template<class Value>
void AddUnique(std::vector<Value>& aValues, const Value& aValue)
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
  const auto it = mSuspects.find(aFingerprint);
  if (it == mSuspects.end()) {
    return false;
  }
  std::vector<BackendId> servers = it->second.mCrashedServers;
  for (const Reset& reset : it->second.mResets) {
    if (aNow - reset.mTime <= mOptions.mConfirmationTime) {
      AddUnique(servers, reset.mBackend);
    }
  }
  return servers.size() >= mOptions.mCrashThreshold;
}

void CrashGuard::OnReset(const ContentDigest& aFingerprint,
                         const BackendId& aBackend,
                         TimePoint aNow)
{
  const bool isKnown = mSuspects.contains(aFingerprint);
  if (!isKnown && mSuspects.size() >= kMaxSuspects) {
    return;
  }
  Suspect& suspect = mSuspects[aFingerprint];
  suspect.mResets.push_back({ aBackend, aNow });
  suspect.mExpiry =
    std::max(suspect.mExpiry, aNow + mOptions.mConfirmationTime);
}

void CrashGuard::OnServerDown(const BackendId& aBackend,
                              TimePoint aNow,
                              EffectList& aOut)
{
  std::vector<ContentDigest> affected;
  for (auto& [fingerprint, suspect] : mSuspects) {
    const std::size_t removed =
      std::erase_if(suspect.mResets, [&](const Reset& aReset) {
        return aReset.mBackend == aBackend &&
               aNow - aReset.mTime <= mOptions.mConfirmationTime;
      });
    if (removed > 0) {
      affected.push_back(fingerprint);
    }
  }
  std::sort(affected.begin(), affected.end());
  for (const ContentDigest& fingerprint : affected) {
    if (!RecordCrash(fingerprint, aBackend, aNow)) {
      mUnreportedCrashes.push_back({ fingerprint, aBackend, aNow });
      continue;
    }
    const auto lifetime =
      std::chrono::duration_cast<Milliseconds>(mOptions.mBlockTime);
    mPeerMessages.push_back(
      { fingerprint, static_cast<std::uint32_t>(lifetime.count()), {} });
    aOut.push_back(
      effect::RecordTimeline{ "request_blocked",
                              { { "fingerprint", ToHex(fingerprint) },
                                { "last_backend", aBackend.mName } } });
  }
}

bool CrashGuard::RecordCrash(const ContentDigest& aFingerprint,
                             const BackendId& aBackend,
                             TimePoint aNow)
{
  Suspect& suspect = mSuspects[aFingerprint];
  suspect.mExpiry = aNow + mOptions.mBlockTime;
  AddUnique(suspect.mCrashedServers, aBackend);
  if (suspect.mCrashedServers.size() < mOptions.mCrashThreshold) {
    return false;
  }
  mSuspects.erase(aFingerprint);
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
  if (!mSuspects.empty()) {
    mSuspects.erase(aFingerprint);
  }
}

void CrashGuard::OnMessage(const message::RequestBlock& aMessage,
                           TimePoint aNow)
{
  if (!aMessage.mLost.IsEmpty()) {
    RecordCrash(aMessage.mFingerprint, aMessage.mLost, aNow);
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
  ReportCrashes(aNow);
  std::erase_if(
    mSuspects, [&](const auto& aItem) { return aNow >= aItem.second.mExpiry; });
  std::erase_if(mBlocks,
                [&](const auto& aItem) { return aNow >= aItem.second; });
}

void CrashGuard::ReportCrashes(TimePoint aNow)
{
  std::size_t reported = 0;
  while (!mUnreportedCrashes.empty() && reported < kMaxReportsPerSweep &&
         aNow - mUnreportedCrashes.front().mTime >= kReportDelay) {
    const Crash& crash = mUnreportedCrashes.front();
    const auto it = mSuspects.find(crash.mFingerprint);
    if (it != mSuspects.end() && !it->second.mCrashedServers.empty()) {
      mPeerMessages.push_back({ crash.mFingerprint, 0, crash.mBackend });
      ++reported;
    }
    mUnreportedCrashes.pop_front();
  }
}

std::vector<message::RequestBlock> CrashGuard::TakePeerMessages()
{
  return std::exchange(mPeerMessages, {});
}

} // namespace cranberrywing
