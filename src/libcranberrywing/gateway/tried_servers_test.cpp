/// \file
/// A request is sent to each server once at most, and each time as another
/// attempt. Otherwise a copy of the answer to one of its sends could be taken
/// for the answer to another (failures REFUSED and TWICE).
#include <random>
#include <set>

#include "gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;

constexpr int kServers = 4;

/// Checks every Dispatch. Requests may be sent to all servers.
class SendFixture : public GatewayFixture
{
public:
  /// Requests per second of the account; zero for no limit.
  explicit SendFixture(double aRate = 0)
  {
    PolicyContent content = Content(2);
    for (RoutePolicy& route : content.mRoutes) {
      route.mMaxAttempts = 2 * kServers;
    }
    content.mAccounts[0].mRate = aRate;
    content.mAccounts[0].mBurst = 1;
    SetPolicy(std::move(content));
  }

  /// Checks and keeps the sends among the last effects. To be called once after
  /// each event.
  void Inspect()
  {
    mNewSends.clear();
    for (const Effect& effect : EffectList(mLastEffects)) {
      if (const auto* const sent = std::get_if<effect::Dispatch>(&effect)) {
        Keep(*sent);
      } else if (const auto* const probe =
                   std::get_if<effect::ProbeBackend>(&effect)) {
        mProbes.push_back(probe->mBackend);
      }
    }
  }

  void AdvanceAndInspect(Duration aTime)
  {
    Advance(aTime);
    Inspect();
  }

  RequestId Send(const std::string& aPath)
  {
    const RequestId id =
      Request(aPath, testing::kKey, std::to_string(mNextRequest));
    Inspect();
    return id;
  }

  /// Refuses the attempt; the server does not say why.
  void RefuseRun(const effect::Dispatch& aSent)
  {
    Reply(aSent, event::ReplyKind::NotRun, 503);
    Inspect();
  }

  const std::vector<effect::Dispatch>& SendsOf(RequestId aRequest)
  {
    return mSends[aRequest];
  }

  /// Sends among the effects of the last event.
  std::vector<effect::Dispatch> mNewSends;
  std::vector<BackendId> mProbes;

private:
  void Keep(const effect::Dispatch& aSent)
  {
    std::vector<effect::Dispatch>& sends = mSends[aSent.mRequest];
    for (const effect::Dispatch& earlier : sends) {
      REQUIRE(earlier.mBackend != aSent.mBackend);
      REQUIRE(earlier.mAttempt != aSent.mAttempt);
    }
    sends.push_back(aSent);
    mNewSends.push_back(aSent);
  }

  std::map<RequestId, std::vector<effect::Dispatch>> mSends;
};

/// The entry of the fixture's servers, elsewhere.
BackendEntry EntryElsewhere(const BackendId& aBackend)
{
  return { .mBackend = aBackend,
           .mService = ServiceId("ordering"),
           .mAddress = "10.1.0.77",
           .mPort = 9000,
           .mFailureDomain = FailureDomainId("near-a"),
           .mRegion = RegionId("near"),
           .mSlots = 4 };
}

/// Which events a random run has seen.
struct Coverage
{
  /// Retries of requests whose earlier attempt has ended, or has not.
  std::size_t mRetries = 0;
  std::size_t mSecondAttempts = 0;
  /// First sends of requests that had to wait.
  std::size_t mLateSends = 0;
};

/// Random requests, outcomes and changes of the servers' entries.
class RandomSends : public SendFixture
{
public:
  RandomSends(std::uint64_t aSeed, double aRate)
    : SendFixture(aRate)
    , mRandom(aSeed)
  {
  }

  void Run()
  {
    for (int n = 0; n < 600; ++n) {
      const int action = Pick(10);
      if (action < 4) {
        Send((Pick(2) == 0 ? "/orders/" : "/prices/") + std::to_string(n));
        Count(false);
      } else if (action < 7 && !mOpen.empty()) {
        EndOneAttempt();
        Count(false);
      } else if (action == 7) {
        ChangeOneServer();
        Count(false);
      }
      AdvanceAndInspect(std::chrono::milliseconds(Pick(80)));
      Count(true);
      AnswerProbes();
    }
  }

  Coverage mCoverage;

private:
  int Pick(int aCount)
  {
    return std::uniform_int_distribution<>(0, aCount - 1)(mRandom);
  }

  void Count(bool aIsTick)
  {
    for (const effect::Dispatch& sent : mNewSends) {
      const auto isSameRequest = [&](const effect::Dispatch& aOpen) {
        return aOpen.mRequest == sent.mRequest;
      };
      if (std::any_of(mOpen.begin(), mOpen.end(), isSameRequest)) {
        ++mCoverage.mSecondAttempts;
      } else if (SendsOf(sent.mRequest).size() > 1) {
        ++mCoverage.mRetries;
      } else if (aIsTick) {
        ++mCoverage.mLateSends;
      }
      mOpen.push_back(sent);
    }
  }

  void EndOneAttempt()
  {
    const auto it = mOpen.begin() + Pick(static_cast<int>(mOpen.size()));
    const effect::Dispatch sent = *it;
    mOpen.erase(it);
    switch (Pick(8)) {
      case 0:
        RefuseRun(sent);
        return;
      case 1:
        Reply(sent, event::ReplyKind::WrongServer, 421);
        break;
      case 2:
        Reply(sent, event::ReplyKind::Unverified, 200);
        break;
      case 3:
        Reply(sent, event::ReplyKind::Answer, 500);
        break;
      case 4:
        Fail(sent,
             event::FailureStage::BeforeFirstByte,
             event::FailureKind::Connect);
        break;
      case 5:
        Fail(sent,
             event::FailureStage::AfterFirstByte,
             event::FailureKind::MalformedAnswer);
        break;
      default:
        AnswerWithLoad(sent);
        break;
    }
    Inspect();
  }

  void AnswerWithLoad(const effect::Dispatch& aSent)
  {
    event::BackendReplied reply{ .mRequest = aSent.mRequest,
                                 .mAttempt = aSent.mAttempt,
                                 .mLatency = std::chrono::milliseconds(100) };
    reply.mAnswer =
      std::make_shared<const AnswerContent>(AnswerContent{ .mStatus = 200 });
    reply.mLoad = LoadSample{ .mRunning = 4,
                              .mWaiting = static_cast<std::uint32_t>(Pick(20)),
                              .mSlots = 4 };
    if (Pick(2) == 0) {
      reply.mRateLimit = 5 + Pick(20);
    }
    Deliver(std::move(reply));
  }

  void ChangeOneServer()
  {
    const std::string name = "s" + std::to_string(Pick(kServers));
    switch (Pick(4)) {
      case 0:
        Deliver(event::BackendRemoved{ BackendId(name) });
        break;
      case 1:
        Deliver(event::BackendRegistered{ EntryElsewhere(BackendId(name)) });
        break;
      default:
        Register(name, false, ++mStarts);
        break;
    }
    Inspect();
  }

  void AnswerProbes()
  {
    for (const BackendId& backend : std::exchange(mProbes, {})) {
      Deliver(event::BackendProbed{
        .mBackend = backend, .mHasAnswered = true, .mIsHealthy = true });
    }
  }

  std::mt19937_64 mRandom;
  std::vector<effect::Dispatch> mOpen;
  std::int64_t mStarts = 1;
};

} // namespace

TEST_CASE("A request goes to each server once, whatever becomes of its entry")
{
  SendFixture fixture;
  const RequestId request = fixture.Send("/orders/1");
  for (int n = 1; n < kServers; ++n) {
    REQUIRE(fixture.SendsOf(request).size() == static_cast<std::size_t>(n));
    const effect::Dispatch sent = fixture.SendsOf(request).back();
    SECTION("a new process " + std::to_string(n))
    {
      fixture.Register(sent.mBackend.mName, false, n);
    }
    SECTION("removed and written again " + std::to_string(n))
    {
      fixture.Deliver(event::BackendRemoved{ sent.mBackend });
      fixture.Register(sent.mBackend.mName);
    }
    SECTION("at another address and back " + std::to_string(n))
    {
      fixture.Deliver(
        event::BackendRegistered{ EntryElsewhere(sent.mBackend) });
      fixture.Register(sent.mBackend.mName);
    }
    fixture.RefuseRun(sent);
  }
  fixture.RefuseRun(fixture.SendsOf(request).back());
  CHECK(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.SendsOf(request).size() == kServers);
}

TEST_CASE("A request that waited for tokens is sent on to other servers only")
{
  SendFixture fixture(20);
  const RequestId waiting = fixture.Send("/orders/1");
  REQUIRE(fixture.mNewSends.empty());
  REQUIRE_FALSE(fixture.FindEffect<effect::Refuse>());
  for (int n = 0; n < 10 && fixture.mNewSends.empty(); ++n) {
    fixture.AdvanceAndInspect(std::chrono::milliseconds(10));
  }
  REQUIRE(fixture.SendsOf(waiting).size() == 1);
  CHECK(fixture.SendsOf(waiting)[0].mAttempt == 1);
  for (int n = 0; n < kServers; ++n) {
    fixture.RefuseRun(fixture.SendsOf(waiting).back());
  }
  CHECK(fixture.FindEffect<effect::Refuse>());
  CHECK(fixture.SendsOf(waiting).size() == kServers);
}

// The server with a rate limit and room to spare is the one that refused.
TEST_CASE("A spare server that has refused a request does not get it again")
{
  GatewayFixture fixture;
  for (const char* const name : { "s2", "s3" }) {
    fixture.Deliver(event::BackendRemoved{ BackendId(name) });
  }
  const auto send = [&](int aObject) {
    fixture.Request("/orders/1", testing::kKey, std::to_string(aObject));
    const auto* const sent = fixture.FindEffect<effect::Dispatch>();
    return sent ? std::optional(*sent) : std::nullopt;
  };
  const auto answer = [&](const effect::Dispatch& aSent,
                          std::uint32_t aWaiting,
                          std::optional<double> aLimit) {
    fixture.Deliver(event::BackendReplied{
      .mRequest = aSent.mRequest,
      .mAttempt = aSent.mAttempt,
      .mAnswer =
        std::make_shared<const AnswerContent>(AnswerContent{ .mStatus = 200 }),
      .mLoad = LoadSample{ .mRunning = 4, .mWaiting = aWaiting, .mSlots = 4 },
      .mRateLimit = aLimit,
      .mLatency = std::chrono::milliseconds(100) });
  };
  const BackendId limited("s0");
  std::set<BackendId> known;
  for (int n = 0; known.size() < 2 && n < 100; ++n) {
    const auto sent = send(n);
    REQUIRE(sent);
    const bool isLimited = sent->mBackend == limited;
    answer(*sent,
           isLimited ? 0 : 400,
           isLimited ? std::optional(50.0) : std::nullopt);
    known.insert(sent->mBackend);
  }
  REQUIRE(known.size() == 2);
  const auto sent = send(0);
  REQUIRE(sent);
  REQUIRE(sent->mBackend == limited);
  fixture.Reply(*sent, event::ReplyKind::NotRun, 503);
  CHECK_FALSE(fixture.FindEffect<effect::Dispatch>());
  REQUIRE(fixture.FindEffect<effect::Refuse>());
  // The other server was selected and its queue found too long.
  CHECK(fixture.FindEffect<effect::Refuse>()->mRefusal.mDetail.starts_with(
    "expected_ms="));
}

TEST_CASE("Under random faults a request goes to each server once")
{
  Coverage all;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    RandomSends sends(seed, seed % 2 == 0 ? 12 : 0);
    sends.Run();
    all.mRetries += sends.mCoverage.mRetries;
    all.mSecondAttempts += sends.mCoverage.mSecondAttempts;
    all.mLateSends += sends.mCoverage.mLateSends;
  }
  CHECK(all.mRetries > 0);
  CHECK(all.mSecondAttempts > 0);
  CHECK(all.mLateSends > 0);
}

} // namespace cranberrywing::gateway
