/// \file
/// Limits the rate and burst of each client account, over all VMs together
/// (design 3.3).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/token_bucket.h"

namespace cranberrywing {

struct RateLimiterHooks
{
  /// Returns this process's fraction of the account's rate and burst, in
  /// millionths.
  std::function<std::uint32_t(const AccountId&)> mFraction;
  /// Returns peers that may have tokens of the account, best first.
  std::function<std::vector<VmId>(const AccountId&)> mPeers;
};

enum class RateDecision : std::uint8_t
{
  Admitted,
  /// The request waits for tokens; TakeOutcomes returns its outcome later.
  Waiting,
  Refused,
};

/// Outcome of a request that waited for tokens.
struct RateOutcome
{
  RequestId mRequest{};
  bool mAdmitted = false;
};

/// Counters since the start of the process, for metrics and reports.
struct RateCounters
{
  std::uint64_t mAdmitted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mWaited = 0;
  std::uint64_t mRequestsSent = 0;
  std::uint64_t mTransfersSent = 0;
  /// Transfers that were late, duplicated or not requested.
  std::uint64_t mTransfersIgnored = 0;
};

/// Number of VMs that should hold a fraction of an account; the others borrow
/// tokens. If a small burst is divided between too many VMs, each holds only a
/// few tokens, too few to lend: at rate 200 and burst 20, 6.8% of the requests
/// within the rate were refused with 11 holders and 0.6% with one
/// (rates_bench). Thread-safe.
std::size_t ShareHolderCount(const AccountSettings& aAccount, std::size_t aVms);

/// Not thread-safe; owned by the reducer.
class RateLimiter
{
public:
  struct Options
  {
    /// Must differ between processes of one VM. The first number of a token
    /// request is derived from it, so that a process does not accept a transfer
    /// that its predecessor requested.
    std::uint64_t mSeed = 1;
    /// Maximum time for which a request waits for tokens.
    Duration mMaxWait = std::chrono::milliseconds(50);
    /// Validity of a transfer, counted by the borrower from its request and by
    /// the lender from its transfer.
    Duration mTransferValidity = std::chrono::milliseconds(500);
    /// Fraction of the bucket's capacity below which tokens are requested ahead
    /// of need.
    double mLowWater = 0.25;
    /// If false, no tokens are transferred, for comparison with a static
    /// division.
    bool mTransfersEnabled = true;
    /// Maximum time whose expected demand a token request covers.
    Duration mPrefetchTime = std::chrono::milliseconds(150);
    /// Time whose expected local demand a VM keeps in tokens when others
    /// request them.
    Duration mReserveTime = std::chrono::milliseconds(100);
  };

  RateLimiter(Options aOptions, RateLimiterHooks aHooks);

  /// Applies rates and bursts. Requests that wait for tokens of a removed
  /// account are refused.
  void Apply(const std::unordered_map<AccountId, AccountSettings>& aAccounts,
             TimePoint aNow);

  /// Takes one token for a request. If there is none, the request waits until
  /// the earlier of aDeadline and Options::mMaxWait, or is refused if it cannot
  /// wait. Refuses requests of unknown accounts.
  RateDecision Admit(RequestId aRequest,
                     const AccountId& aAccount,
                     TimePoint aDeadline,
                     TimePoint aNow,
                     EffectList& aOut);
  /// Removes a waiting request without an outcome.
  void Cancel(RequestId aRequest);
  /// Returns the outcomes of the waits that have ended since the last call.
  std::vector<RateOutcome> TakeOutcomes();

  /// Tokens available on this VM, for reports.
  double Tokens(const AccountId& aAccount, TimePoint aNow) const;
  /// Mean utilization of the fraction since the last call; see
  /// ShareLedger::ReportUtilization.
  double TakeUtilization(const AccountId& aAccount);
  const RateCounters& Counters() const { return mCounters; }

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::TokenRequest& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);
  void OnMessage(const VmIncarnation& aFrom,
                 const message::TokenTransfer& aMessage,
                 TimePoint aNow,
                 EffectList& aOut);

private:
  struct Waiter
  {
    RequestId mRequest{};
    TimePoint mExpiry{};
  };

  /// Spare tokens that a peer last reported.
  struct PeerSpare
  {
    VmId mVm;
    double mSpare = 0;
    TimePoint mUpdatedAt{};
    /// Consecutive replies without tokens.
    std::uint32_t mEmptyReplies = 0;
    /// Time until which a reply is expected.
    TimePoint mReplyDeadline{};
  };

  /// A received transfer whose end has not been reported to the lender yet.
  struct ReceivedTransfer
  {
    std::uint64_t mNumber = 0;
    VmId mLender;
    TimePoint mReceivedAt{};
  };

  struct Account
  {
    TokenBucket mBucket;
    double mRate = 0;
    std::deque<Waiter> mWaiters{};
    std::vector<PeerSpare> mPeers{};
    /// Smoothed request rate in requests per second, at mDemandAt.
    double mDemand = 0;
    TimePoint mDemandAt{};
    /// Requests since the last TakeUtilization, and the time of that call.
    std::uint64_t mArrivals = 0;
    TimePoint mUtilizationSince{};
    /// Tokens requested and not yet received.
    double mTokensRequested = 0;
    std::vector<ReceivedTransfer> mReceivedTransfers{};
    /// Set when the account is removed from the settings. The entry is kept
    /// until its transfers have ended, so that re-adding the account does not
    /// lose them.
    std::optional<TimePoint> mRemovedAt{};
  };

  /// A token request whose reply may still arrive.
  struct PendingRequest
  {
    AccountId mAccount;
    VmId mPeer;
    double mRequested = 0;
    TimePoint mSentAt{};
    /// Whether mRequested is still included in Account::mTokensRequested.
    bool mIsAwaited = true;
  };

  /// A peer from which tokens may be requested.
  struct Candidate
  {
    VmId mVm;
    /// Spare tokens that it last reported; nullopt if unknown.
    std::optional<double> mSpare{};
  };

  Account* Find(const AccountId& aId);
  void Remove(Account& aAccount, TimePoint aNow);
  void Advance(const AccountId& aId, Account& aAccount, TimePoint aNow);
  static void RecordArrival(Account& aAccount, TimePoint aNow);
  static double Demand(const Account& aAccount, TimePoint aNow);
  void ServeWaiters(Account& aAccount, TimePoint aNow);
  std::size_t QueueLimit(const Account& aAccount) const;
  Duration PrefetchTime(const Account& aAccount) const;
  double Shortage(const Account& aAccount, TimePoint aNow) const;
  std::vector<Candidate> Candidates(const AccountId& aId,
                                    const Account& aAccount,
                                    TimePoint aNow);
  void RequestTokens(const AccountId& aId,
                     Account& aAccount,
                     TimePoint aNow,
                     EffectList& aOut);
  void RequestTokensFrom(const AccountId& aId,
                         Account& aAccount,
                         const VmId& aPeer,
                         double aRequested,
                         TimePoint aNow,
                         EffectList& aOut);
  std::vector<EndedTransfer> CollectEnded(Account& aAccount,
                                          const VmId& aLender,
                                          TimePoint aNow) const;
  void ReportEnded(const AccountId& aId,
                   Account& aAccount,
                   TimePoint aNow,
                   EffectList& aOut);
  void ExpireRequests(TimePoint aNow);
  static PeerSpare& FindOrAddPeer(Account& aAccount, const VmId& aVm);
  static void RecordSpare(Account& aAccount,
                          const VmId& aVm,
                          const message::TokenTransfer& aMessage,
                          TimePoint aNow);

  Options mOptions;
  RateLimiterHooks mHooks;
  std::mt19937_64 mRandom;
  std::uint64_t mNextNumber = 1;
  std::unordered_map<AccountId, Account> mAccounts;
  std::unordered_map<std::uint64_t, PendingRequest> mPendingRequests;
  std::vector<RateOutcome> mOutcomes;
  RateCounters mCounters;
};

} // namespace cranberrywing
