/// \file
/// Planned stops while requests arrive and servers answer, fail or keep silent,
/// drawn by seed.
#include <map>
#include <random>

#include "libcranberrywing/gateway/gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;

constexpr Duration kTick = std::chrono::milliseconds(25);
/// Requests sent later than this after the stop request may not be cut.
constexpr Duration kExcusedSendTime = std::chrono::seconds(3);
/// The exit lies in the last sixth of the stop limit.
constexpr Duration kLastSixth = std::chrono::seconds(5);

/// Sends requests around a stop and follows each of them.
class StopFixture : public GatewayFixture
{
public:
  explicit StopFixture(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    PolicyContent content = Content(2);
    for (RoutePolicy& route : content.mRoutes) {
      route.mTimeout = std::chrono::milliseconds(Draw(500, 6000));
      route.mTargetLatency = std::chrono::milliseconds(Draw(200, 1500));
    }
    content.mAccounts.front().mRate = Draw(0, 1) * 20.0;
    content.mAccounts.front().mBurst = 20;
    SetPolicy(std::move(content));
  }

  /// Plays until the VM exits.
  void Play()
  {
    const TimePoint stop = mNow + std::chrono::seconds(2);
    while (!mHasExited && mNow < stop + std::chrono::seconds(7)) {
      if (mNow >= stop && !mStoppedAt) {
        mStoppedAt = mNow;
        Deliver(event::StopRequested{});
        Follow();
      }
      for (int n = Draw(0, 3); n > 0; --n) {
        Send();
      }
      EndAttempts();
      Advance(kTick);
      Follow();
    }
    // Requests that are read after the exit.
    Send();
  }

  void Check() const
  {
    CHECK(mHasExited);
    for (const auto& [id, request] : mSent) {
      INFO("request " << static_cast<std::uint64_t>(id));
      REQUIRE(request.mEnds == 1);
      if (request.mIsRefusedAsNotRun) {
        CHECK(request.mOpen.empty());
        CHECK(request.mMayHaveRun == false);
      }
      if (request.mIsCut) {
        CHECK(request.mSentAt <= *mStoppedAt + kExcusedSendTime);
        CHECK(request.mEndedAt >= *mStoppedAt + kLastSixth);
      }
    }
  }

private:
  struct Sent
  {
    TimePoint mSentAt{};
    TimePoint mEndedAt{};
    TimePoint mDeadline{};
    int mEnds = 0;
    /// Attempts that no server has ended, and whether one may have run it.
    std::map<AttemptNumber, effect::Dispatch> mOpen;
    bool mMayHaveRun = false;
    bool mIsRefusedAsNotRun = false;
    /// Whether it got the VM's own answer before its time was over while a
    /// server was at work on it.
    bool mIsCut = false;
  };

  int Draw(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(mRandom);
  }

  void Send()
  {
    const bool isIdempotent = Draw(0, 1) == 0;
    const auto id = Request(isIdempotent ? "/prices/1" : "/orders/1",
                            testing::kKey,
                            std::to_string(Draw(0, 9)));
    Sent& sent = mSent[id];
    sent.mSentAt = mNow;
    Follow();
  }

  /// Notes what the last effects mean for requests.
  void Follow()
  {
    const cranberrywing::gateway::EffectList effects = mLastEffects;
    for (const Effect& effect : effects) {
      if (const auto* const sent = std::get_if<effect::Dispatch>(&effect)) {
        Sent& request = mSent[sent->mRequest];
        request.mOpen[sent->mAttempt] = *sent;
        request.mDeadline = mNow + sent->mTimeBudget;
      } else if (const auto* const cancelled =
                   std::get_if<effect::CancelDispatch>(&effect)) {
        Sent& request = mSent[cancelled->mRequest];
        request.mMayHaveRun = true;
        request.mIsCut = mNow + 2 * kTick < request.mDeadline;
        request.mOpen.erase(cancelled->mAttempt);
      } else if (const auto* const answer =
                   std::get_if<effect::Respond>(&effect)) {
        End(answer->mRequest);
        mSent[answer->mRequest].mIsCut = false;
      } else if (const auto* const refusal =
                   std::get_if<effect::Refuse>(&effect)) {
        End(refusal->mRequest);
        mSent[refusal->mRequest].mIsRefusedAsNotRun =
          refusal->mRefusal.mExecution == Execution::NotRun;
      } else if (std::holds_alternative<effect::Exit>(effect)) {
        mHasExited = true;
      }
    }
  }

  void End(RequestId aRequest)
  {
    Sent& request = mSent[aRequest];
    ++request.mEnds;
    request.mEndedAt = mNow;
  }

  /// Lets servers answer, refuse or lose some of the attempts.
  void EndAttempts()
  {
    std::vector<effect::Dispatch> open;
    for (const auto& [id, request] : mSent) {
      for (const auto& [number, dispatch] : request.mOpen) {
        open.push_back(dispatch);
      }
    }
    for (const effect::Dispatch& dispatch : open) {
      Sent& request = mSent[dispatch.mRequest];
      if (!request.mOpen.contains(dispatch.mAttempt)) {
        continue;
      }
      const int choice = Draw(0, 999);
      if (choice < 40) {
        request.mOpen.erase(dispatch.mAttempt);
        request.mMayHaveRun = true;
        Reply(dispatch, event::ReplyKind::Answer, 200);
      } else if (choice < 44) {
        request.mOpen.erase(dispatch.mAttempt);
        Reply(dispatch, event::ReplyKind::NotRun, 503);
      } else if (choice < 46) {
        request.mOpen.erase(dispatch.mAttempt);
        request.mMayHaveRun = true;
        Fail(dispatch,
             event::FailureStage::AfterFirstByte,
             event::FailureKind::Reset);
      } else {
        continue;
      }
      Follow();
    }
  }

  std::mt19937_64 mRandom;
  std::map<RequestId, Sent> mSent;
  std::optional<TimePoint> mStoppedAt;
  bool mHasExited = false;
};

} // namespace

// Guards against the failure LOST at scale: a request that was taken long after
// the stop request is given up at the exit without an answer.
TEST_CASE("Each request around a planned stop gets one answer in time")
{
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    StopFixture fixture(seed);
    fixture.Play();
    fixture.Check();
  }
}

} // namespace cranberrywing::gateway
