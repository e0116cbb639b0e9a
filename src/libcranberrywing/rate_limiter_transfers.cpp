// Token transfers between VMs.
#include "cranberrywing/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// After this time an unanswered request is thought lost and others are
/// asked; half of the longest wait, so that their answers come in time. With
/// 100 ms, 1% of messages lost and 4 holders, 0.13% were refused, now 0.05%.
constexpr Duration kAnswerWait = std::chrono::milliseconds(25);
/// A peer without spare tokens is asked again after this time, doubled with
/// each answer without a token, which bounds the messages of an account that
/// is beyond its rate everywhere.
constexpr Duration kEmptyWait = std::chrono::milliseconds(20);
constexpr std::uint32_t kMostEmptyDoublings = 5;
constexpr std::size_t kMostAskedAtOnce = 8;
/// Time for which the end of a transfer waits for a request to go with.
constexpr Duration kEndedWait = std::chrono::milliseconds(20);
constexpr std::size_t kMostPeers = 16;
/// Smaller transfers are not worth a message.
constexpr double kLeastTransfer = 0.01;

} // namespace

RateLimiter::PeerSpare& RateLimiter::SpareOf(Account& aAccount, const VmId& aVm)
{
  const auto it =
    std::find_if(aAccount.mPeers.begin(),
                 aAccount.mPeers.end(),
                 [&](const PeerSpare& aPeer) { return aPeer.mVm == aVm; });
  if (it != aAccount.mPeers.end()) {
    return *it;
  }
  if (aAccount.mPeers.size() >= 2 * kMostPeers) {
    aAccount.mPeers.erase(aAccount.mPeers.begin());
  }
  return aAccount.mPeers.emplace_back(PeerSpare{ .mVm = aVm });
}

void RateLimiter::NoteSpare(Account& aAccount,
                            const VmId& aVm,
                            const message::TokenTransfer& aMessage,
                            TimePoint aNow)
{
  PeerSpare& peer = SpareOf(aAccount, aVm);
  // Also false for a value that is no number, which would upset sorting.
  peer.mSpare = aMessage.mSpare > 0 ? aMessage.mSpare : 0;
  peer.mHeardAt = aNow;
  peer.mAskedUntil = aNow;
  peer.mEmptyAnswers = aMessage.mTokens > 0 ? 0 : peer.mEmptyAnswers + 1;
}

Duration RateLimiter::AskAhead(const Account& aAccount) const
{
  // Tokens on the way or kept ahead of need serve nobody else, so that all
  // VMs together keep at most a part of the burst in this way.
  constexpr double kPart = 0.25;
  if (aAccount.mRate <= 0) {
    return mOptions.mAskAhead;
  }
  const std::chrono::duration<double> part(kPart * aAccount.mBucket.Burst() /
                                           aAccount.mRate);
  return std::min(mOptions.mAskAhead,
                  std::chrono::duration_cast<Duration>(part));
}

double RateLimiter::Shortage(const Account& aAccount, TimePoint aNow) const
{
  const TokenBucket& bucket = aAccount.mBucket;
  const double demand = Demand(aAccount, aNow);
  const double waiting = static_cast<double>(aAccount.mWaiters.size());
  const double target =
    waiting + std::floor(demand * ToSeconds(AskAhead(aAccount)));
  // Two thirds of the demand that a request covers, so that requests are few.
  const double lowWater =
    std::max(mOptions.mLowWater * bucket.Capacity(), target * 2 / 3);
  if (aAccount.mWaiters.empty() && bucket.Total() >= lowWater) {
    return 0;
  }
  const double shortage = target - bucket.Total() - aAccount.mAsked;
  // Less than a whole token matters only to a request that waits for it.
  return waiting > 0 || shortage >= 1 ? std::max(shortage, 0.0) : 0;
}

std::vector<RateLimiter::Candidate> RateLimiter::Candidates(
  const AccountId& aId,
  const Account& aAccount,
  TimePoint aNow)
{
  std::vector<Candidate> candidates;
  for (const VmId& vm : mHooks.mPeers(aId)) {
    if (candidates.size() >= kMostPeers) {
      break;
    }
    const auto it =
      std::find_if(aAccount.mPeers.begin(),
                   aAccount.mPeers.end(),
                   [&](const PeerSpare& aPeer) { return aPeer.mVm == vm; });
    if (it == aAccount.mPeers.end()) {
      candidates.push_back({ .mVm = vm });
      continue;
    }
    if (aNow < it->mAskedUntil) {
      continue;
    }
    const std::uint32_t doublings =
      std::min(it->mEmptyAnswers, kMostEmptyDoublings);
    const bool isEmpty = it->mSpare < kLeastTransfer;
    if (!isEmpty || aNow - it->mHeardAt >= kEmptyWait * (1u << doublings)) {
      candidates.push_back({ .mVm = vm, .mSpare = it->mSpare });
    }
  }
  // Most known tokens first, then the peers of which nothing is known, in the
  // hook's order.
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Candidate& aLeft, const Candidate& aRight) {
                     return aLeft.mSpare.value_or(0) >
                            aRight.mSpare.value_or(0);
                   });
  return candidates;
}

void RateLimiter::AskPeers(const AccountId& aId,
                           Account& aAccount,
                           TimePoint aNow,
                           EffectList& aOut)
{
  if (!mOptions.mTransfersEnabled) {
    return;
  }
  double missing = Shortage(aAccount, aNow);
  if (missing <= 0) {
    return;
  }
  const std::vector<Candidate> candidates = Candidates(aId, aAccount, aNow);
  // Half of an equal division is expected of a peer of which nothing better
  // is known.
  const double guess =
    aAccount.mBucket.Burst() / 2 / static_cast<double>(candidates.size() + 1);
  std::size_t asked = 0;
  for (const Candidate& candidate : candidates) {
    if (asked >= kMostAskedAtOnce || missing < kLeastTransfer) {
      return;
    }
    // Twice what is expected, since the peer has refilled meanwhile.
    const double expected = std::max(candidate.mSpare.value_or(guess), guess);
    AskPeer(aId,
            aAccount,
            candidate.mVm,
            std::min(missing, 2 * expected),
            aNow,
            aOut);
    missing -= std::min(missing, expected);
    ++asked;
  }
}

void RateLimiter::AskPeer(const AccountId& aId,
                          Account& aAccount,
                          const VmId& aPeer,
                          double aWanted,
                          TimePoint aNow,
                          EffectList& aOut)
{
  const std::uint64_t number = mNextNumber++;
  mAsks.emplace(
    number,
    Ask{
      .mAccount = aId, .mPeer = aPeer, .mWanted = aWanted, .mSentAt = aNow });
  aAccount.mAsked += aWanted;
  SpareOf(aAccount, aPeer).mAskedUntil = aNow + kAnswerWait;
  ++mCounters.mRequestsSent;
  effect::SendMessage send;
  send.mTo = aPeer;
  send.mMessage =
    message::TokenRequest{ .mNumber = number,
                           .mAccount = aId,
                           .mWanted = aWanted,
                           .mEnded = TakeEnded(aAccount, aPeer, aNow) };
  aOut.push_back(std::move(send));
}

std::vector<EndedTransfer> RateLimiter::TakeEnded(Account& aAccount,
                                                  const VmId& aGiver,
                                                  TimePoint aNow) const
{
  TokenBucket& bucket = aAccount.mBucket;
  std::vector<EndedTransfer> ended;
  std::erase_if(aAccount.mTaken, [&](const TakenTransfer& aTaken) {
    if (aTaken.mGiver != aGiver) {
      return false;
    }
    // Half of the validity leaves time for the way back.
    const bool isIdle =
      aNow - aTaken.mTakenAt >= mOptions.mTransferValidity / 2;
    if (bucket.HoldsBorrowed(aTaken.mNumber) && !isIdle) {
      return false;
    }
    ended.push_back({ .mNumber = aTaken.mNumber,
                      .mReturned = bucket.TakeBorrowed(aTaken.mNumber) });
    return true;
  });
  return ended;
}

void RateLimiter::TellEnded(const AccountId& aId,
                            Account& aAccount,
                            TimePoint aNow,
                            EffectList& aOut)
{
  std::erase_if(aAccount.mTaken, [&](const TakenTransfer& aTaken) {
    return aNow - aTaken.mTakenAt >= mOptions.mTransferValidity;
  });
  std::vector<VmId> givers;
  for (const TakenTransfer& taken : aAccount.mTaken) {
    const bool isKnown =
      std::find(givers.begin(), givers.end(), taken.mGiver) != givers.end();
    if (!isKnown && aNow - taken.mTakenAt >= kEndedWait) {
      givers.push_back(taken.mGiver);
    }
  }
  for (const VmId& giver : givers) {
    message::TokenRequest request{ .mAccount = aId,
                                   .mEnded = TakeEnded(aAccount, giver, aNow) };
    if (request.mEnded.empty()) {
      continue;
    }
    effect::SendMessage send;
    send.mTo = giver;
    send.mMessage = std::move(request);
    aOut.push_back(std::move(send));
  }
}

void RateLimiter::ForgetAsks(TimePoint aNow)
{
  for (auto it = mAsks.begin(); it != mAsks.end();) {
    Ask& ask = it->second;
    if (ask.mAwaited && aNow - ask.mSentAt >= kAnswerWait) {
      ask.mAwaited = false;
      const auto account = mAccounts.find(ask.mAccount);
      if (account != mAccounts.end()) {
        double& asked = account->second.mAsked;
        asked = std::max(0.0, asked - ask.mWanted);
      }
    }
    const bool isOver = aNow - ask.mSentAt >= mOptions.mTransferValidity;
    it = isOver ? mAsks.erase(it) : std::next(it);
  }
}

void RateLimiter::OnMessage(const VmIncarnation& aFrom,
                            const message::TokenRequest& aMessage,
                            TimePoint aNow,
                            EffectList& aOut)
{
  message::TokenTransfer transfer{ .mNumber = aMessage.mNumber,
                                   .mAccount = aMessage.mAccount };
  Account* found =
    mOptions.mTransfersEnabled ? Find(aMessage.mAccount) : nullptr;
  if (found != nullptr) {
    Account& account = *found;
    Advance(aMessage.mAccount, account, aNow);
    for (const EndedTransfer& ended : aMessage.mEnded) {
      account.mBucket.EndLoan({ .mAsker = aFrom, .mNumber = ended.mNumber },
                              ended.mReturned);
    }
    Serve(account, aNow);
    const double kept = static_cast<double>(account.mWaiters.size()) +
                        Demand(account, aNow) * ToSeconds(mOptions.mReserve);
    const double spare = account.mBucket.Own() - kept;
    const double wanted = std::min(aMessage.mWanted, spare);
    if (wanted >= kLeastTransfer) {
      // From here on, the validity that the asker counts from its earlier
      // request ends before this one, for clocks within the drift margin.
      const TimePoint end = aNow + WithDriftMargin(mOptions.mTransferValidity);
      transfer.mTokens = account.mBucket.Lend(
        { .mAsker = aFrom, .mNumber = aMessage.mNumber }, wanted, end);
    }
    transfer.mSpare = std::max(0.0, spare - transfer.mTokens);
  }
  if (aMessage.mWanted <= 0) {
    return;
  }
  ++mCounters.mTransfersSent;
  effect::SendMessage send;
  send.mTo = aFrom.mVm;
  send.mMessage = std::move(transfer);
  aOut.push_back(std::move(send));
}

void RateLimiter::OnMessage(const VmIncarnation& aFrom,
                            const message::TokenTransfer& aMessage,
                            TimePoint aNow,
                            EffectList& aOut)
{
  const auto it = mAsks.find(aMessage.mNumber);
  const bool isExpected = it != mAsks.end() && it->second.mPeer == aFrom.mVm &&
                          it->second.mAccount == aMessage.mAccount;
  Account* found = Find(aMessage.mAccount);
  if (!isExpected || found == nullptr) {
    ++mCounters.mTransfersIgnored;
    return;
  }
  const Ask ask = it->second;
  mAsks.erase(it);
  Account& account = *found;
  if (ask.mAwaited) {
    account.mAsked = std::max(0.0, account.mAsked - ask.mWanted);
  }
  Advance(ask.mAccount, account, aNow);
  NoteSpare(account, aFrom.mVm, aMessage, aNow);
  const TimePoint end = ask.mSentAt + mOptions.mTransferValidity;
  if (aNow >= end) {
    ++mCounters.mTransfersIgnored;
  } else if (aMessage.mTokens > 0) {
    const double tokens = std::min(aMessage.mTokens, ask.mWanted);
    account.mBucket.Borrow(aMessage.mNumber, tokens, end);
    account.mTaken.push_back(
      { .mNumber = aMessage.mNumber, .mGiver = aFrom.mVm, .mTakenAt = aNow });
  }
  Serve(account, aNow);
  AskPeers(ask.mAccount, account, aNow, aOut);
}

} // namespace cranberrywing
