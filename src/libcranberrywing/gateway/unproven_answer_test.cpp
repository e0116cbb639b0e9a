/// \file
/// What a VM learns of a backend server from answers that may be another
/// server's, or answers to another request.
#include "gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;

class AnswerFixture : public GatewayFixture
{
public:
  /// Sends a request and returns the server that got it.
  BackendId Send()
  {
    Request("/orders/" + std::to_string(mNextRequest));
    REQUIRE(FindEffect<effect::Dispatch>());
    mSent = *FindEffect<effect::Dispatch>();
    return mSent.mBackend;
  }

  /// Answers the last request with all that a server can say of itself.
  void AnswerWithNews(event::ReplyKind aKind, std::uint32_t aStatus)
  {
    Deliver(event::BackendReplied{
      .mRequest = mSent.mRequest,
      .mAttempt = mSent.mAttempt,
      .mKind = aKind,
      .mAnswer = std::make_shared<const AnswerContent>(
        AnswerContent{ .mStatus = aStatus }),
      .mLoad = LoadSample{ .mRunning = 4, .mWaiting = 9, .mSlots = 4 },
      .mRateLimit = 3,
      .mIsLeaving = true,
      .mWait = std::chrono::seconds(30) });
  }

  const Backend& At(const BackendId& aBackend) const
  {
    const Backend* const backend = mGateway.Pool().Find(aBackend);
    REQUIRE(backend);
    return *backend;
  }

  /// Whether anything is known that AnswerWithNews states.
  bool KnowsNews(const BackendId& aBackend) const
  {
    const Backend& backend = At(aBackend);
    const ServerNotices& notices = mGateway.Pool().Notices();
    return backend.mOtherVmLoad > 0 || backend.mRateLimit.mPerSecond ||
           backend.mAnsweredAt != TimePoint{} ||
           notices.IsLeaving(backend.mLifetimeHash) ||
           notices.WaitEnd(backend.mLifetimeHash) > mNow;
  }

private:
  effect::Dispatch mSent;
};

} // namespace

// Guards against a sound server that gets no requests: the copy of an earlier
// answer, or the answer of another server at its address, said that it was
// leaving or full.
TEST_CASE("What an unproven answer says of its server is not heeded")
{
  AnswerFixture fixture;
  const BackendId server = fixture.Send();
  SECTION("not verified")
  {
    fixture.AnswerWithNews(event::ReplyKind::Unverified, 503);
  }
  SECTION("from another server")
  {
    fixture.AnswerWithNews(event::ReplyKind::WrongServer, 421);
  }
  CHECK_FALSE(fixture.KnowsNews(server));
  CHECK_FALSE(fixture.FindEffect<effect::CloseBackendConnections>());
}

// Guards against a restarted server that gets no requests: the last answer of
// its former process, which had the same identifier, said that it was leaving.
TEST_CASE("What a server's former process says is not heeded for the present")
{
  AnswerFixture fixture;
  const BackendId server = fixture.Send();
  fixture.Register(server.mName, false, 77);
  fixture.AnswerWithNews(event::ReplyKind::Answer, 200);
  CHECK(fixture.FindEffect<effect::Respond>());
  CHECK_FALSE(fixture.KnowsNews(server));
  CHECK(fixture.At(server).mInFlight == 0);
}

// Guards against the same, of the answer to a health check.
TEST_CASE("What a probe of the former process says is not heeded")
{
  AnswerFixture fixture;
  const BackendId server = fixture.Send();
  const std::uint64_t former = fixture.At(server).mLifetimeHash;
  fixture.Register(server.mName, false, 77);
  REQUIRE(fixture.At(server).mLifetimeHash != former);
  fixture.Deliver(event::BackendProbed{ .mBackend = server,
                                        .mLifetime = former,
                                        .mHasAnswered = true,
                                        .mIsHealthy = true,
                                        .mRateLimit = 3,
                                        .mIsLeaving = true,
                                        .mWait = std::chrono::seconds(30) });
  CHECK_FALSE(fixture.KnowsNews(server));
}

TEST_CASE("What a proven answer says of its server is heeded")
{
  AnswerFixture fixture;
  const BackendId server = fixture.Send();
  SECTION("answer")
  {
    fixture.AnswerWithNews(event::ReplyKind::Answer, 200);
  }
  SECTION("refusal")
  {
    fixture.AnswerWithNews(event::ReplyKind::NotRun, 503);
  }
  const Backend& backend = fixture.At(server);
  const ServerNotices& notices = fixture.mGateway.Pool().Notices();
  CHECK(backend.mOtherVmLoad > 0);
  CHECK(backend.mRateLimit.mPerSecond == 3.0);
  CHECK(backend.mAnsweredAt == fixture.mNow);
  CHECK(notices.IsLeaving(backend.mLifetimeHash));
  CHECK(notices.WaitEnd(backend.mLifetimeHash) > fixture.mNow);
}

} // namespace cranberrywing::gateway
