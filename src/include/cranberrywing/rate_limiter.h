/// \file
/// Rate and burst of each client account, counted over all VMs together
/// (design 3.3).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

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
  /// The request waits for tokens; TakeDecided returns it later.
  Waiting,
  Refused,
};

/// The end of a wait.
struct RateOutcome
{
  RequestId mRequest{};
  bool mAdmitted = false;
};

/// Not thread-safe; owned by the reducer.
class RateLimiter
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    /// Longest wait of a request for tokens.
    Duration mLongestWait = std::chrono::milliseconds(50);
    /// Time within which a transfer may be accepted, from its request.
    Duration mTransferValidity = std::chrono::milliseconds(500);
    /// Part of the bucket below which tokens are asked for ahead of need.
    double mLowWater = 0.25;
    /// Turns transfers off, for measuring against static division.
    bool mTransfers = true;
  };

  RateLimiter(Options aOptions, RateLimiterHooks aHooks);

  void Apply(const SettingsSnapshot& aSettings, TimePoint aNow);

  /// Takes one token for a request.
  RateDecision Admit(RequestId aRequest,
                     const AccountId& aAccount,
                     TimePoint aDeadline,
                     TimePoint aNow,
                     EffectList& aOut);
  /// Forgets a waiting request.
  void Cancel(RequestId aRequest);
  /// Requests whose wait has ended since the last call.
  std::vector<RateOutcome> TakeDecided();

  /// Tokens at hand, for reports.
  double Tokens(const AccountId& aAccount, TimePoint aNow) const;
  /// Mean use of the fraction since the last call; see ShareLedger::ReportUse.
  double TakeUse(const AccountId& aAccount);

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
  Options mOptions;
  RateLimiterHooks mHooks;
};

} // namespace cranberrywing
