#include "cranberrywing/rate_limiter.h"

#include <catch2/catch.hpp>

#include "testing/rate_fleet.h"

using namespace cranberrywing;
using namespace cranberrywing::testing;
using namespace std::chrono_literals;

namespace {

/// Tolerance for rounding errors in sums of fractional tokens.
constexpr double kRounding = 1e-6;

/// Sends a request and advances time. All VMs together must never hold tokens
/// beyond the burst.
void ArriveAndCheck(RateFleet& aFleet, std::size_t aVm, Duration aPause)
{
  aFleet.Arrive(aVm);
  aFleet.RunFor(aPause);
  REQUIRE(aFleet.TotalUsableTokens() <= aFleet.Burst() + kRounding);
}

/// Sends requests at several times the account's rate to random VMs, mostly to
/// one that changes every 3 s, in order to expose any way to exceed the limit.
void Flood(RateFleet& aFleet, std::mt19937_64& aRandom, Duration aDuration)
{
  std::uniform_int_distribution<std::size_t> vm(0, aFleet.Size() - 1);
  std::uniform_int_distribution<int> pause(0, 2'000);
  std::size_t hot = 0;
  TimePoint nextHot = aFleet.Queue().Now();
  const TimePoint end = aFleet.Queue().Now() + aDuration;
  while (aFleet.Queue().Now() < end) {
    if (aFleet.Queue().Now() >= nextHot) {
      hot = vm(aRandom);
      nextHot += 3s;
    }
    const std::size_t target = aRandom() % 4 == 0 ? vm(aRandom) : hot;
    const std::chrono::microseconds gap(pause(aRandom));
    ArriveAndCheck(aFleet, target, gap);
  }
}

/// Lets the buckets fill, makes one VM borrow about as much as all refill, and
/// drains all buckets at once after the lenders have refilled: lent tokens must
/// not exist twice.
void DrainAfterLoans(RateFleet& aFleet, std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<int> pause(0, 300);
  aFleet.RunFor(1s);
  const std::size_t hot = aRandom() % aFleet.Size();
  for (int i = 0; i < 100; ++i) {
    ArriveAndCheck(aFleet, hot, 5ms);
  }
  for (int waited = pause(aRandom); waited > 0; --waited) {
    aFleet.RunFor(1ms);
    REQUIRE(aFleet.TotalUsableTokens() <= aFleet.Burst() + kRounding);
  }
  for (int i = 0; i < 400; ++i) {
    const std::size_t vm = aRandom() % aFleet.Size();
    ArriveAndCheck(aFleet, aRandom() % 3 == 0 ? hot : vm, 100us);
  }
}

void InjectFault(RateFleet& aFleet, std::mt19937_64& aRandom)
{
  const std::size_t vm = aRandom() % aFleet.Size();
  switch (aRandom() % 6) {
    case 0:
      aFleet.Pause(vm);
      break;
    case 1:
    case 2:
      aFleet.Resume(vm);
      break;
    case 3:
      aFleet.Start(vm);
      break;
    case 4:
      aFleet.Ledger(vm).Release(RateFleet::Account().mName);
      break;
    default:
      aFleet.Ledger(vm).Acquire(RateFleet::Account().mName);
      break;
  }
}

} // namespace

// Guards against admitting more than rate x time + burst in any window, under
// any combination of lost, duplicated, late and reordered messages, pauses,
// restarts and changes of fractions.
TEST_CASE("admissions stay within rate x time + burst in every window")
{
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const double burst = seed % 2 == 0 ? 20 : 100;
    RateFleet fleet({ .mSeed = seed,
                      .mRate = 200,
                      .mBurst = burst,
                      .mLossProbability = 0.05,
                      .mDuplicateProbability = 0.1,
                      .mLateProbability = 0.1,
                      .mDriftingClocks = true,
                      .mReviewInterval = 2s });
    fleet.Store().SetFaults({ .mRequestLossProbability = 0.02,
                              .mAnswerLossProbability = 0.05,
                              .mLateEffectProbability = 0.05 });
    std::mt19937_64 random(seed);
    for (int round = 0; round < 60; ++round) {
      if (random() % 2 == 0) {
        Flood(fleet, random, 500ms);
      } else {
        DrainAfterLoans(fleet, random);
      }
      InjectFault(fleet, random);
      fleet.Store().SetOutage(round % 20 > 16);
    }
    REQUIRE(fleet.Log().Admissions().size() > 1000);
    CHECK(MaxExcess(fleet.Log().Admissions(), 200, burst) <= kRounding);
  }
}

// Guards against keeping the limit by refusing requests within the rate.
TEST_CASE("an overloaded account is admitted at nearly its full rate")
{
  RateFleet fleet({ .mRate = 200, .mBurst = 100, .mLossProbability = 0.01 });
  std::mt19937_64 random(1);
  fleet.RunFor(5s);
  const std::size_t before = fleet.Log().Admissions().size();
  Flood(fleet, random, 20s);
  CHECK(fleet.Log().Admissions().size() - before > 0.95 * 200 * 20);
  CHECK(MaxExcess(fleet.Log().Admissions(), 200, 100) <= kRounding);
}

// Guards against creating tokens when a transfer arrives twice, late, from
// another VM than the one asked, or with more tokens than requested.
TEST_CASE("only the first timely transfer of the requested peer is accepted")
{
  const AccountId account("shops");
  const VmIncarnation peer{ VmId("vm-2"), Incarnation{ 1 } };
  const VmIncarnation other{ VmId("vm-3"), Incarnation{ 1 } };
  SettingsSnapshot settings;
  settings.mAccounts[account].mRate = 100;
  settings.mAccounts[account].mBurst = 100;
  RateLimiter limiter(
    { .mSeed = 5 },
    { .mFraction = [](const AccountId&) { return 0u; },
      .mPeers = [&](const AccountId&) { return std::vector{ peer.mVm }; } });
  TimePoint now{};
  limiter.Apply(settings.mAccounts, now);
  EffectList effects;
  REQUIRE(limiter.Admit(RequestId{ 1 }, account, now + 1s, now, effects) ==
          RateDecision::Waiting);
  const auto& send = std::get<effect::SendMessage>(effects.at(0));
  const auto request = std::get<message::TokenRequest>(send.mMessage);
  message::TokenTransfer transfer{ .mNumber = request.mNumber,
                                   .mAccount = account,
                                   .mTokens = request.mRequested + 50,
                                   .mSpare = 0 };
  const auto admit = [&](std::uint64_t aRequest) {
    return limiter.Admit(RequestId{ aRequest }, account, now, now, effects);
  };

  SECTION("timely tokens can be used at once by a VM without a fraction")
  {
    now += 499ms;
    limiter.OnMessage(other, transfer, now, effects);
    CHECK(limiter.Tokens(account, now) == 0);
    limiter.OnMessage(peer, transfer, now, effects);
    limiter.OnMessage(peer, transfer, now, effects);
    CHECK(limiter.Tokens(account, now) <= request.mRequested);
    CHECK(limiter.Counters().mTransfersIgnored == 2);
    CHECK(admit(2) == RateDecision::Admitted);
    // A VM without a fraction has no capacity of its own, so the remaining
    // tokens expire with the validity.
    CHECK(limiter.Tokens(account, now + 1ms) == 0);
  }
  SECTION("unused tokens are returned to the lender once")
  {
    // The request that waited has been refused by then.
    limiter.OnMessage(peer, transfer, now += 60ms, effects);
    REQUIRE(limiter.Tokens(account, now) == request.mRequested);
    effects.clear();
    limiter.Tick(now += 200ms, effects);
    CHECK(effects.empty());
    limiter.Tick(now += 50ms, effects);
    REQUIRE(effects.size() == 1);
    const auto& back = std::get<effect::SendMessage>(effects[0]);
    const auto& ended = std::get<message::TokenRequest>(back.mMessage).mEnded;
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].mNumber == request.mNumber);
    CHECK(ended[0].mReturned == request.mRequested);
    CHECK(limiter.Tokens(account, now) == 0);
  }
  SECTION("late tokens are discarded")
  {
    now += 500ms;
    limiter.OnMessage(peer, transfer, now, effects);
    CHECK(limiter.Tokens(account, now) == 0);
    CHECK(admit(2) == RateDecision::Refused);
  }
}

// Guards against refilling lent tokens while the borrower may still use them,
// and against keeping tokens beyond a reduced fraction.
TEST_CASE("a bucket's capacity shrinks with loans and with its fraction")
{
  TimePoint now{};
  TokenBucket bucket(100, 100, now);
  CHECK(bucket.TotalTokens() == 0);
  bucket.Advance(kWholeShare / 2, now);
  CHECK(bucket.TotalTokens() == 0);
  bucket.Advance(kWholeShare / 2, now += 10s);
  CHECK(bucket.TotalTokens() == 50);
  CHECK(bucket.Lend({}, 30, now + 510ms) == 30);
  bucket.Advance(kWholeShare / 2, now += 509ms);
  CHECK(bucket.TotalTokens() == 20);
  bucket.Advance(kWholeShare / 2, now += 1ms);
  CHECK(bucket.Capacity() == 50);
  bucket.Advance(kWholeShare / 2, now += 10s);
  // A return adds tokens once, and no more than were lent.
  const TransferId transfer{ {}, 7 };
  CHECK(bucket.Lend(transfer, 20, now + 510ms) == 20);
  bucket.EndLoan(transfer, 5);
  bucket.EndLoan(transfer, 5);
  CHECK(bucket.TotalTokens() == 35);
  CHECK(bucket.Capacity() == 50);
  CHECK(bucket.Lend(transfer, 10, now + 510ms) == 10);
  bucket.EndLoan(transfer, 15);
  CHECK(bucket.TotalTokens() == 35);
  bucket.Advance(kWholeShare / 10, now);
  CHECK(bucket.TotalTokens() == 10);
  bucket.Advance(kWholeShare, now);
  CHECK(bucket.TotalTokens() == 10);
  // The smaller of the old and the new fraction applies between two calls.
  bucket.Advance(kWholeShare / 10, now);
  bucket.Advance(kWholeShare, now += 100ms);
  CHECK(bucket.TotalTokens() == Approx(11));
}

// Guards against requests that wait longer than 50 ms or beyond their deadline,
// and against waits without an outcome when the account is removed from the
// settings.
TEST_CASE("every wait ends with an outcome")
{
  const AccountId account("shops");
  SettingsSnapshot settings;
  settings.mAccounts[account].mRate = 10;
  settings.mAccounts[account].mBurst = 10;
  RateLimiter limiter(
    {},
    { .mFraction = [](const AccountId&) { return kWholeShare; },
      .mPeers = [](const AccountId&) { return std::vector<VmId>{}; } });
  TimePoint now{};
  limiter.Apply(settings.mAccounts, now);
  EffectList effects;
  const auto wait = [&](std::uint64_t aRequest, Duration aTimeout) {
    REQUIRE(limiter.Admit(
              RequestId{ aRequest }, account, now + aTimeout, now, effects) ==
            RateDecision::Waiting);
  };
  wait(1, 1s);
  wait(2, 20ms);
  wait(3, 1s);
  wait(4, 1s);
  limiter.Cancel(RequestId{ 3 });
  limiter.Tick(now += 20ms, effects);
  auto decided = limiter.TakeOutcomes();
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].mRequest == RequestId{ 2 });
  CHECK_FALSE(decided[0].mAdmitted);
  limiter.Tick(now += 30ms, effects);
  CHECK(limiter.TakeOutcomes().size() == 2);
  wait(5, 1s);
  settings.mAccounts.clear();
  limiter.Apply(settings.mAccounts, now);
  decided = limiter.TakeOutcomes();
  REQUIRE(decided.size() == 1);
  CHECK_FALSE(decided[0].mAdmitted);
  CHECK(limiter.Admit(RequestId{ 6 }, account, now + 1s, now, effects) ==
        RateDecision::Refused);
}
