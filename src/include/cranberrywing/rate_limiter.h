/// \file
/// Rate and burst of each client account, counted over all VMs together
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
  /// This process's fraction of the account's rate and burst, in millionths.
  std::function<std::uint32_t(const AccountId&)> mFraction;
  /// Peers that may have tokens of the account, best first.
  std::function<std::vector<VmId>(const AccountId&)> mPeers;
};

enum class RateDecision : std::uint8_t
{
  Admitted,
  /// The request waits for tokens; TakeOutcomes returns it later.
  Waiting,
  Refused,
};

/// The end of a wait.
struct RateOutcome
{
  RequestId mRequest{};
  bool mAdmitted = false;
};

/// Counters since the start, for metrics and reports.
struct RateCounters
{
  std::uint64_t mAdmitted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mWaited = 0;
  std::uint64_t mRequestsSent = 0;
  std::uint64_t mTransfersSent = 0;
  /// Transfers that came late, doubled or unasked for.
  std::uint64_t mTransfersIgnored = 0;
};

/// Number of VMs that should hold a fraction of an account; the others
/// borrow. A VM's part of a small burst is less than a few tokens and serves
/// nobody: at rate 200 and burst 20, 6.8% of the requests within rate were
/// refused with 11 holders and 0.6% with one (rates_bench). Thread-safe.
std::size_t ShareHolderCount(const AccountSettings& aAccount, std::size_t aVms);

/// Not thread-safe; owned by the reducer.
class RateLimiter
{
public:
  struct Options
  {
    /// Must differ between processes of one VM: the first number of a token
    /// request follows from it, so that a process does not take a transfer
    /// that the one before it asked for.
    std::uint64_t mSeed = 1;
    /// Longest wait of a request for tokens.
    Duration mMaxWait = std::chrono::milliseconds(50);
    /// Time within which a transfer may be accepted, from its request.
    Duration mTransferValidity = std::chrono::milliseconds(500);
    /// Part of the bucket below which tokens are asked for ahead of need.
    double mLowWater = 0.25;
    /// Turns transfers off, for measuring against static division.
    bool mTransfersEnabled = true;
    /// Longest time whose demand a request for tokens covers.
    Duration mAskAhead = std::chrono::milliseconds(150);
    /// Own demand for which a VM keeps tokens when others ask.
    Duration mReserve = std::chrono::milliseconds(100);
  };

  RateLimiter(Options aOptions, RateLimiterHooks aHooks);

  /// Takes rates and bursts; requests that wait for a removed account are
  /// refused.
  void Apply(const std::unordered_map<AccountId, AccountSettings>& aAccounts,
             TimePoint aNow);

  /// Takes one token for a request.
  RateDecision Admit(RequestId aRequest,
                     const AccountId& aAccount,
                     TimePoint aDeadline,
                     TimePoint aNow,
                     EffectList& aOut);
  /// Forgets a waiting request.
  void Cancel(RequestId aRequest);
  /// Requests whose wait has ended since the last call.
  std::vector<RateOutcome> TakeOutcomes();

  /// Tokens at hand, for reports.
  double Tokens(const AccountId& aAccount, TimePoint aNow) const;
  /// Mean use of the fraction since the last call; see
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
    TimePoint mUntil{};
  };

  /// What a peer last told of its spare tokens.
  struct PeerSpare
  {
    VmId mVm;
    double mSpare = 0;
    TimePoint mHeardAt{};
    /// Answers without a token in a row.
    std::uint32_t mEmptyAnswers = 0;
    /// End of the time in which an answer is awaited.
    TimePoint mAskedUntil{};
  };

  /// A transfer that was taken and whose end its giver should learn.
  struct TakenTransfer
  {
    std::uint64_t mNumber = 0;
    VmId mGiver;
    TimePoint mTakenAt{};
  };

  struct Account
  {
    TokenBucket mBucket;
    double mRate = 0;
    std::deque<Waiter> mWaiters{};
    std::vector<PeerSpare> mPeers{};
    /// Requests per second of the recent past.
    double mDemand = 0;
    TimePoint mDemandAt{};
    /// Requests since the last TakeUtilization, and when that was.
    std::uint64_t mArrivals = 0;
    TimePoint mUseSince{};
    /// Tokens asked for and not yet answered.
    double mAsked = 0;
    std::vector<TakenTransfer> mTaken{};
    /// Set once the settings lack the account. It is kept until its transfers
    /// have ended, so that a return of the account does not forget them.
    std::optional<TimePoint> mRemovedAt{};
  };

  /// A token request that may still be answered.
  struct Ask
  {
    AccountId mAccount;
    VmId mPeer;
    double mWanted = 0;
    TimePoint mSentAt{};
    /// Whether mWanted still counts in Account::mAsked.
    bool mAwaited = true;
  };

  /// A peer to be asked, in order of preference.
  struct Candidate
  {
    VmId mVm;
    /// Tokens that it is known to have; nullopt if not known.
    std::optional<double> mSpare{};
  };

  Account* Find(const AccountId& aId);
  void Remove(Account& aAccount, TimePoint aNow);
  void Advance(const AccountId& aId, Account& aAccount, TimePoint aNow);
  static void CountArrival(Account& aAccount, TimePoint aNow);
  static double Demand(const Account& aAccount, TimePoint aNow);
  void Serve(Account& aAccount, TimePoint aNow);
  std::size_t QueueLimit(const Account& aAccount) const;
  Duration AskAhead(const Account& aAccount) const;
  double Shortage(const Account& aAccount, TimePoint aNow) const;
  std::vector<Candidate> Candidates(const AccountId& aId,
                                    const Account& aAccount,
                                    TimePoint aNow);
  void AskPeers(const AccountId& aId,
                Account& aAccount,
                TimePoint aNow,
                EffectList& aOut);
  void AskPeer(const AccountId& aId,
               Account& aAccount,
               const VmId& aPeer,
               double aWanted,
               TimePoint aNow,
               EffectList& aOut);
  std::vector<EndedTransfer> TakeEnded(Account& aAccount,
                                       const VmId& aGiver,
                                       TimePoint aNow) const;
  void TellEnded(const AccountId& aId,
                 Account& aAccount,
                 TimePoint aNow,
                 EffectList& aOut);
  void ForgetAsks(TimePoint aNow);
  static PeerSpare& SpareOf(Account& aAccount, const VmId& aVm);
  static void NoteSpare(Account& aAccount,
                        const VmId& aVm,
                        const message::TokenTransfer& aMessage,
                        TimePoint aNow);

  Options mOptions;
  RateLimiterHooks mHooks;
  std::mt19937_64 mRandom;
  std::uint64_t mNextNumber = 1;
  std::unordered_map<AccountId, Account> mAccounts;
  std::unordered_map<std::uint64_t, Ask> mAsks;
  std::vector<RateOutcome> mDecided;
  RateCounters mCounters;
};

} // namespace cranberrywing
