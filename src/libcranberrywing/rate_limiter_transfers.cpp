// Token transfer part of RateLimiter: requests to peers, replies and the return
// of unused tokens.
#include "cranberrywing/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cranberrywing {

namespace {

/// Time after which an unanswered request is considered lost and other peers
/// are asked; half of the maximum wait, so that their replies arrive in time.
/// With 100 ms, 0.13% of requests were refused at 1% message loss and 4
/// holders; with this value 0.05%.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(25);
/// Initial wait before another request to a peer without spare tokens, doubled
/// with each reply without tokens. The back-off bounds the messages of an
/// account that exceeds its rate on all VMs.
constexpr Duration kEmptyPeerBackOff = std::chrono::milliseconds(20);
constexpr std::uint32_t kMaxBackOffDoublings = 5;
constexpr std::size_t kMaxParallelRequests = 8;
/// Time for which the report of an ended transfer waits for a token request to
/// the same lender that can carry it.
constexpr Duration kEndReportDelay = std::chrono::milliseconds(20);
constexpr std::size_t kMaxPeers = 16;
/// Minimum transfer in tokens that is worth a message.
constexpr double kMinTransfer = 0.01;

} // namespace

RateLimiter::PeerSpare& RateLimiter::FindOrAddPeer(Account& aAccount,
                                                   const VmId& aVm)
{
  const auto it =
    std::find_if(aAccount.mPeers.begin(),
                 aAccount.mPeers.end(),
                 [&](const PeerSpare& aPeer) { return aPeer.mVm == aVm; });
  if (it != aAccount.mPeers.end()) {
    return *it;
  }
  if (aAccount.mPeers.size() >= 2 * kMaxPeers) {
    aAccount.mPeers.erase(aAccount.mPeers.begin());
  }
  return aAccount.mPeers.emplace_back(PeerSpare{ .mVm = aVm });
}

void RateLimiter::RecordSpare(Account& aAccount,
                              const VmId& aVm,
                              const message::TokenTransfer& aMessage,
                              TimePoint aNow)
{
  PeerSpare& peer = FindOrAddPeer(aAccount, aVm);
  // Also maps NaN to zero, which would break the sorting of candidates.
  peer.mSpare = aMessage.mSpare > 0 ? aMessage.mSpare : 0;
  peer.mUpdatedAt = aNow;
  peer.mReplyDeadline = aNow;
  peer.mEmptyReplies = aMessage.mTokens > 0 ? 0 : peer.mEmptyReplies + 1;
}

Duration RateLimiter::PrefetchTime(const Account& aAccount) const
{
  // Tokens in transit or fetched ahead of need are of no use to other VMs, so
  // all VMs together may hold at most this fraction of the burst in this way.
  constexpr double kMaxBurstFraction = 0.25;
  if (aAccount.mRate <= 0) {
    return mOptions.mPrefetchTime;
  }
  const std::chrono::duration<double> part(
    kMaxBurstFraction * aAccount.mBucket.Burst() / aAccount.mRate);
  return std::min(mOptions.mPrefetchTime,
                  std::chrono::duration_cast<Duration>(part));
}

double RateLimiter::Shortage(const Account& aAccount, TimePoint aNow) const
{
  const TokenBucket& bucket = aAccount.mBucket;
  const double demand = Demand(aAccount, aNow);
  const double waiting = static_cast<double>(aAccount.mWaiters.size());
  const double target =
    waiting + std::floor(demand * ToSeconds(PrefetchTime(aAccount)));
  // Request below two thirds of the target, so that requests are infrequent.
  const double lowWater =
    std::max(mOptions.mLowWater * bucket.Capacity(), target * 2 / 3);
  if (aAccount.mWaiters.empty() && bucket.TotalTokens() >= lowWater) {
    return 0;
  }
  const double shortage =
    target - bucket.TotalTokens() - aAccount.mTokensRequested;
  // Less than a whole token is only useful if a request waits for it.
  return waiting > 0 || shortage >= 1 ? std::max(shortage, 0.0) : 0;
}

std::vector<RateLimiter::Candidate> RateLimiter::Candidates(
  const AccountId& aId,
  const Account& aAccount,
  TimePoint aNow)
{
  std::vector<Candidate> candidates;
  for (const VmId& vm : mHooks.mPeers(aId)) {
    if (candidates.size() >= kMaxPeers) {
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
    if (aNow < it->mReplyDeadline) {
      continue;
    }
    const std::uint32_t doublings =
      std::min(it->mEmptyReplies, kMaxBackOffDoublings);
    const bool isEmpty = it->mSpare < kMinTransfer;
    if (!isEmpty ||
        aNow - it->mUpdatedAt >= kEmptyPeerBackOff * (1u << doublings)) {
      candidates.push_back({ .mVm = vm, .mSpare = it->mSpare });
    }
  }
  // Peers with the most reported tokens first, then peers without a report, in
  // the order of the hook.
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Candidate& aLeft, const Candidate& aRight) {
                     return aLeft.mSpare.value_or(0) >
                            aRight.mSpare.value_or(0);
                   });
  return candidates;
}

void RateLimiter::RequestTokens(const AccountId& aId,
                                Account& aAccount,
                                TimePoint aNow,
                                EffectList& aOut)
{
  if (!mOptions.mTransfersEnabled) {
    return;
  }
  double shortage = Shortage(aAccount, aNow);
  if (shortage <= 0) {
    return;
  }
  const std::vector<Candidate> candidates = Candidates(aId, aAccount, aNow);
  // Half of an equal division is assumed for peers without a report.
  const double defaultSpare =
    aAccount.mBucket.Burst() / 2 / static_cast<double>(candidates.size() + 1);
  std::size_t requested = 0;
  for (const Candidate& candidate : candidates) {
    if (requested >= kMaxParallelRequests || shortage < kMinTransfer) {
      return;
    }
    // Request twice what is expected, since the peer has refilled since its
    // report.
    const double expected =
      std::max(candidate.mSpare.value_or(defaultSpare), defaultSpare);
    RequestTokensFrom(aId,
                      aAccount,
                      candidate.mVm,
                      std::min(shortage, 2 * expected),
                      aNow,
                      aOut);
    shortage -= std::min(shortage, expected);
    ++requested;
  }
}

void RateLimiter::RequestTokensFrom(const AccountId& aId,
                                    Account& aAccount,
                                    const VmId& aPeer,
                                    double aRequested,
                                    TimePoint aNow,
                                    EffectList& aOut)
{
  const std::uint64_t number = mNextNumber++;
  mPendingRequests.emplace(number,
                           PendingRequest{ .mAccount = aId,
                                           .mPeer = aPeer,
                                           .mRequested = aRequested,
                                           .mSentAt = aNow });
  aAccount.mTokensRequested += aRequested;
  FindOrAddPeer(aAccount, aPeer).mReplyDeadline = aNow + kReplyTimeout;
  ++mCounters.mRequestsSent;
  effect::SendMessage send;
  send.mTo = aPeer;
  send.mMessage =
    message::TokenRequest{ .mNumber = number,
                           .mAccount = aId,
                           .mRequested = aRequested,
                           .mEnded = CollectEnded(aAccount, aPeer, aNow) };
  aOut.push_back(std::move(send));
}

std::vector<EndedTransfer> RateLimiter::CollectEnded(Account& aAccount,
                                                     const VmId& aLender,
                                                     TimePoint aNow) const
{
  TokenBucket& bucket = aAccount.mBucket;
  std::vector<EndedTransfer> ended;
  std::erase_if(
    aAccount.mReceivedTransfers, [&](const ReceivedTransfer& aReceived) {
      if (aReceived.mLender != aLender) {
        return false;
      }
      // Return unused tokens at half of the validity, so that the report
      // arrives before the loan expires.
      const bool isIdle =
        aNow - aReceived.mReceivedAt >= mOptions.mTransferValidity / 2;
      if (bucket.HoldsBorrowed(aReceived.mNumber) && !isIdle) {
        return false;
      }
      ended.push_back({ .mNumber = aReceived.mNumber,
                        .mReturned = bucket.TakeBorrowed(aReceived.mNumber) });
      return true;
    });
  return ended;
}

void RateLimiter::ReportEnded(const AccountId& aId,
                              Account& aAccount,
                              TimePoint aNow,
                              EffectList& aOut)
{
  std::erase_if(
    aAccount.mReceivedTransfers, [&](const ReceivedTransfer& aReceived) {
      return aNow - aReceived.mReceivedAt >= mOptions.mTransferValidity;
    });
  std::vector<VmId> lenders;
  for (const ReceivedTransfer& received : aAccount.mReceivedTransfers) {
    const bool isKnown =
      std::find(lenders.begin(), lenders.end(), received.mLender) !=
      lenders.end();
    if (!isKnown && aNow - received.mReceivedAt >= kEndReportDelay) {
      lenders.push_back(received.mLender);
    }
  }
  for (const VmId& lender : lenders) {
    message::TokenRequest request{ .mAccount = aId,
                                   .mEnded =
                                     CollectEnded(aAccount, lender, aNow) };
    if (request.mEnded.empty()) {
      continue;
    }
    effect::SendMessage send;
    send.mTo = lender;
    send.mMessage = std::move(request);
    aOut.push_back(std::move(send));
  }
}

void RateLimiter::ExpireRequests(TimePoint aNow)
{
  for (auto it = mPendingRequests.begin(); it != mPendingRequests.end();) {
    PendingRequest& pending = it->second;
    if (pending.mIsAwaited && aNow - pending.mSentAt >= kReplyTimeout) {
      pending.mIsAwaited = false;
      const auto account = mAccounts.find(pending.mAccount);
      if (account != mAccounts.end()) {
        double& requested = account->second.mTokensRequested;
        requested = std::max(0.0, requested - pending.mRequested);
      }
    }
    const bool isExpired = aNow - pending.mSentAt >= mOptions.mTransferValidity;
    it = isExpired ? mPendingRequests.erase(it) : std::next(it);
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
      account.mBucket.EndLoan({ .mBorrower = aFrom, .mNumber = ended.mNumber },
                              ended.mReturned);
    }
    ServeWaiters(account, aNow);
    const double kept =
      static_cast<double>(account.mWaiters.size()) +
      Demand(account, aNow) * ToSeconds(mOptions.mReserveTime);
    const double lendable = account.mBucket.OwnTokens() - kept;
    const double granted = std::min(aMessage.mRequested, lendable);
    if (granted >= kMinTransfer) {
      // The loan ends after the validity that the borrower counts from its
      // earlier request, for clocks within the drift margin.
      const TimePoint end = aNow + WithDriftMargin(mOptions.mTransferValidity);
      transfer.mTokens = account.mBucket.Lend(
        { .mBorrower = aFrom, .mNumber = aMessage.mNumber }, granted, end);
    }
    transfer.mSpare = std::max(0.0, lendable - transfer.mTokens);
  }
  if (aMessage.mRequested <= 0) {
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
  const auto it = mPendingRequests.find(aMessage.mNumber);
  const bool isExpected = it != mPendingRequests.end() &&
                          it->second.mPeer == aFrom.mVm &&
                          it->second.mAccount == aMessage.mAccount;
  Account* found = Find(aMessage.mAccount);
  if (!isExpected || found == nullptr) {
    ++mCounters.mTransfersIgnored;
    return;
  }
  const PendingRequest pending = it->second;
  mPendingRequests.erase(it);
  Account& account = *found;
  if (pending.mIsAwaited) {
    account.mTokensRequested =
      std::max(0.0, account.mTokensRequested - pending.mRequested);
  }
  Advance(pending.mAccount, account, aNow);
  RecordSpare(account, aFrom.mVm, aMessage, aNow);
  const TimePoint end = pending.mSentAt + mOptions.mTransferValidity;
  if (aNow >= end) {
    ++mCounters.mTransfersIgnored;
  } else if (aMessage.mTokens > 0) {
    const double tokens = std::min(aMessage.mTokens, pending.mRequested);
    account.mBucket.Borrow(aMessage.mNumber, tokens, end);
    account.mReceivedTransfers.push_back({ .mNumber = aMessage.mNumber,
                                           .mLender = aFrom.mVm,
                                           .mReceivedAt = aNow });
  }
  ServeWaiters(account, aNow);
  RequestTokens(pending.mAccount, account, aNow, aOut);
}

} // namespace cranberrywing
