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
/// Interval at which a VM repeats its blocks to another one.
constexpr Duration kRepeatInterval = std::chrono::seconds(1);
/// Blocks told at a time; bounds the datagrams sent per second.
constexpr std::size_t kMaxBlocksTold = 16;
/// Bounds memory, and the time after which each block has been repeated.
constexpr std::size_t kMaxBlocks = 1024;
/// Crashes that different VMs see at most this long after each other may have a
/// common cause.
constexpr Duration kCommonCauseTime = std::chrono::milliseconds(250);

Milliseconds::rep CountMs(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

/// Servers without a known lifetime are named by their identifier alone.
BackendId NameProcess(const LostAttempt& aAttempt)
{
  return aAttempt.mLifetime == 0
           ? aAttempt.mBackend
           : BackendId(aAttempt.mBackend.mName + '#' +
                       std::to_string(aAttempt.mLifetime));
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

bool CrashGuard::OnArrival(const ContentDigest& aFingerprint, TimePoint aNow)
{
  const bool isBlocked = IsBlocked(aFingerprint, aNow);
  if (isBlocked) {
    Block(aFingerprint, aNow + mOptions.mBlockTime);
  }
  return isBlocked;
}

CrashGuard::Crash CrashGuard::ToCrash(const LostAttempt& aAttempt)
{
  return { .mProcess = NameProcess(aAttempt),
           .mSentAt = aAttempt.mSentAt,
           .mLostAt = aAttempt.mLostAt };
}

std::size_t CrashGuard::CountSeparate(std::vector<Crash> aCrashes)
{
  std::sort(aCrashes.begin(),
            aCrashes.end(),
            [](const Crash& aLeft, const Crash& aRight) {
              return aLeft.mLostAt < aRight.mLostAt;
            });
  std::size_t count = 0;
  TimePoint lastLostAt = TimePoint::min();
  for (const Crash& crash : aCrashes) {
    if (crash.mSentAt >= lastLostAt) {
      ++count;
      lastLostAt = crash.mLostAt;
    }
  }
  return count;
}

bool CrashGuard::IsSuspect(const ContentDigest& aFingerprint,
                           TimePoint aNow) const
{
  const auto it = mSuspects.find(aFingerprint);
  if (it == mSuspects.end()) {
    return false;
  }
  std::vector<Crash> crashes = it->second.mCrashes;
  for (const LostAttempt& reset : it->second.mResets) {
    if (aNow - reset.mLostAt <= mOptions.mConfirmationTime) {
      AddUnique(crashes, ToCrash(reset));
    }
  }
  return CountSeparate(std::move(crashes)) >= mOptions.mCrashThreshold;
}

void CrashGuard::OnReset(const ContentDigest& aFingerprint,
                         const LostAttempt& aAttempt)
{
  const bool isKnown = mSuspects.contains(aFingerprint);
  if (!isKnown && mSuspects.size() >= kMaxSuspects) {
    return;
  }
  Suspect& suspect = mSuspects[aFingerprint];
  suspect.mResets.push_back(aAttempt);
  suspect.mExpiry =
    std::max(suspect.mExpiry, aAttempt.mLostAt + mOptions.mConfirmationTime);
}

void CrashGuard::OnServerDown(const BackendId& aBackend,
                              TimePoint aNow,
                              EffectList& aOut)
{
  ConfirmResets(
    [&](const LostAttempt& aReset) { return aReset.mBackend == aBackend; },
    aNow,
    aOut);
}

void CrashGuard::OnServerRestarted(const BackendId& aBackend,
                                   std::uint64_t aLifetime,
                                   TimePoint aNow,
                                   EffectList& aOut)
{
  ConfirmResets(
    [&](const LostAttempt& aReset) {
      return aReset.mBackend == aBackend && aReset.mLifetime != aLifetime;
    },
    aNow,
    aOut);
}

void CrashGuard::ConfirmResets(const Filter& aFilter,
                               TimePoint aNow,
                               EffectList& aOut)
{
  std::vector<std::pair<ContentDigest, LostAttempt>> confirmed;
  for (auto& [fingerprint, suspect] : mSuspects) {
    std::erase_if(suspect.mResets,
                  [&, &print = fingerprint](const auto& aReset) {
                    if (!aFilter(aReset) ||
                        aNow - aReset.mLostAt > mOptions.mConfirmationTime) {
                      return false;
                    }
                    confirmed.emplace_back(print, aReset);
                    return true;
                  });
  }
  std::stable_sort(confirmed.begin(),
                   confirmed.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first < aRight.first;
                   });
  for (const auto& [fingerprint, attempt] : confirmed) {
    const Crash crash = ToCrash(attempt);
    if (!RecordCrash(fingerprint, crash, aNow)) {
      mUnreported.push_back({ fingerprint, crash, aNow });
      continue;
    }
    mPeerMessages.push_back(
      { fingerprint,
        static_cast<std::uint32_t>(CountMs(mOptions.mBlockTime)),
        {} });
    aOut.push_back(
      effect::RecordTimeline{ "request_blocked",
                              { { "fingerprint", ToHex(fingerprint) },
                                { "last_backend", attempt.mBackend.mName } } });
  }
}

bool CrashGuard::RecordCrash(const ContentDigest& aFingerprint,
                             const Crash& aCrash,
                             TimePoint aNow)
{
  if (IsBlocked(aFingerprint, aNow)) {
    return false;
  }
  Suspect& suspect = mSuspects[aFingerprint];
  if (aCrash.mLostAt <= suspect.mClearedAt) {
    return false;
  }
  suspect.mExpiry = aNow + mOptions.mBlockTime;
  AddUnique(suspect.mCrashes, aCrash);
  if (CountSeparate(suspect.mCrashes) < mOptions.mCrashThreshold) {
    return false;
  }
  mSuspects.erase(aFingerprint);
  Block(aFingerprint, aNow + mOptions.mBlockTime);
  return true;
}

bool CrashGuard::Contains(const std::vector<Crash>& aCrashes,
                          const Crash& aCrash)
{
  return std::any_of(
    aCrashes.begin(), aCrashes.end(), [&](const Crash& aOther) {
      return aOther.mProcess == aCrash.mProcess;
    });
}

void CrashGuard::AddUnique(std::vector<Crash>& aCrashes, const Crash& aCrash)
{
  if (!Contains(aCrashes, aCrash)) {
    aCrashes.push_back(aCrash);
  }
}

bool CrashGuard::Block(const ContentDigest& aFingerprint, TimePoint aUntil)
{
  if (mBlocks.size() >= kMaxBlocks && !mBlocks.contains(aFingerprint)) {
    mBlocks.erase(std::min_element(mBlocks.begin(),
                                   mBlocks.end(),
                                   [](const auto& aLeft, const auto& aRight) {
                                     return aLeft.second < aRight.second;
                                   }));
  }
  const auto [it, isNew] = mBlocks.emplace(aFingerprint, aUntil);
  it->second = std::max(it->second, aUntil);
  return isNew;
}

void CrashGuard::OnSuccess(const ContentDigest& aFingerprint, TimePoint aNow)
{
  const auto it = mSuspects.find(aFingerprint);
  if (it == mSuspects.end()) {
    return;
  }
  if (it->second.mIsKnownToPeers) {
    mPeerMessages.push_back({ aFingerprint, 0, {} });
  }
  Clear(it->second, aNow);
}

void CrashGuard::Clear(Suspect& aSuspect, TimePoint aNow)
{
  aSuspect = {};
  aSuspect.mClearedAt = aNow;
  aSuspect.mExpiry = aNow + mOptions.mConfirmationTime;
}

bool CrashGuard::OnMessage(const message::RequestBlock& aMessage,
                           TimePoint aNow)
{
  const Milliseconds time(aMessage.mLifetimeMs);
  if (!aMessage.mLost.IsEmpty()) {
    const TimePoint lostAt = aNow - time;
    const bool isBlocked = RecordCrash(aMessage.mFingerprint,
                                       { .mProcess = aMessage.mLost,
                                         .mSentAt = lostAt - kCommonCauseTime,
                                         .mLostAt = lostAt },
                                       aNow);
    const auto it = mSuspects.find(aMessage.mFingerprint);
    if (it != mSuspects.end() && !it->second.mCrashes.empty()) {
      it->second.mIsKnownToPeers = true;
    }
    return isBlocked;
  }
  if (aMessage.mLifetimeMs == 0) {
    const auto it = mSuspects.find(aMessage.mFingerprint);
    if (it != mSuspects.end()) {
      Clear(it->second, aNow);
    }
    return false;
  }
  return Block(aMessage.mFingerprint,
               aNow + std::min<Duration>(time, mOptions.mBlockTime));
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
  while (!mUnreported.empty() && reported < kMaxReportsPerSweep &&
         aNow - mUnreported.front().mTime >= kReportDelay) {
    const Report& report = mUnreported.front();
    const auto it = mSuspects.find(report.mFingerprint);
    if (it != mSuspects.end() && Contains(it->second.mCrashes, report.mCrash)) {
      const Duration age = aNow - report.mCrash.mLostAt;
      mPeerMessages.push_back({ report.mFingerprint,
                                static_cast<std::uint32_t>(CountMs(age)),
                                report.mCrash.mProcess });
      it->second.mIsKnownToPeers = true;
      ++reported;
    }
    mUnreported.pop_front();
  }
}

std::vector<message::RequestBlock> CrashGuard::NextBlocks(TimePoint aNow)
{
  std::vector<ContentDigest> fingerprints;
  for (const auto& [fingerprint, until] : mBlocks) {
    if (aNow < until) {
      fingerprints.push_back(fingerprint);
    }
  }
  std::sort(fingerprints.begin(), fingerprints.end());
  const auto next =
    std::upper_bound(fingerprints.begin(), fingerprints.end(), mLastTold);
  std::rotate(fingerprints.begin(), next, fingerprints.end());
  fingerprints.resize(std::min(fingerprints.size(), kMaxBlocksTold));
  std::vector<message::RequestBlock> blocks;
  for (const ContentDigest& fingerprint : fingerprints) {
    const Duration left = mBlocks.at(fingerprint) - aNow;
    // A lifetime of zero has another meaning.
    const auto leftMs = std::max<Milliseconds::rep>(1, CountMs(left));
    blocks.push_back({ fingerprint, static_cast<std::uint32_t>(leftMs), {} });
    mLastTold = fingerprint;
  }
  return blocks;
}

std::vector<message::RequestBlock> CrashGuard::TakeBlocksToRepeat(
  TimePoint aNow)
{
  if (aNow < mNextRepeat) {
    return {};
  }
  mNextRepeat = aNow + kRepeatInterval;
  return NextBlocks(aNow);
}

std::vector<message::RequestBlock> CrashGuard::TakePeerMessages()
{
  return std::exchange(mPeerMessages, {});
}

} // namespace cranberrywing
