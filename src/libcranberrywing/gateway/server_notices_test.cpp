/// \file
/// What backend servers ask of a VM: that they are leaving, or that nothing be
/// sent to them for some time.
#include <cstdlib>
#include <random>

#include "cranberrywing/parse_number.h"
#include "gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;

class NoticeFixture : public GatewayFixture
{
public:
  /// Sends requests for the given time, answers all, and returns the servers
  /// that got any. The first of aObjects objects is that of Request.
  std::set<BackendId> ServersUsed(Duration aTime, int aObjects = 1)
  {
    std::set<BackendId> used;
    int sent = 0;
    const Duration step = std::chrono::milliseconds(20);
    for (Duration passed{}; passed < aTime; passed += step) {
      const int number = sent++ % aObjects;
      const std::string object =
        number == 0 ? std::string("o") : "o" + std::to_string(number);
      Request("/prices/" + std::to_string(mNextRequest), testing::kKey, object);
      if (const auto* const dispatch = FindEffect<effect::Dispatch>()) {
        used.insert(dispatch->mBackend);
        Reply(effect::Dispatch(*dispatch), event::ReplyKind::Answer, 200);
      }
      Advance(step);
    }
    return used;
  }

  /// Answers the request in the last effects; returns the server.
  BackendId Answer(event::BackendReplied aReply)
  {
    const auto* const sent = FindEffect<effect::Dispatch>();
    REQUIRE(sent);
    const BackendId backend = sent->mBackend;
    aReply.mRequest = sent->mRequest;
    aReply.mAttempt = sent->mAttempt;
    aReply.mAnswer = std::make_shared<const AnswerContent>(AnswerContent{
      .mStatus = aReply.mKind == event::ReplyKind::NotRun ? 503u : 200u });
    Deliver(std::move(aReply));
    return backend;
  }

  /// Lets all servers answer that they want nothing for the given time.
  void LetAllWait(Duration aWait)
  {
    for (int n = 0; n < 16; ++n) {
      Request("/prices/" + std::to_string(mNextRequest));
      while (FindEffect<effect::Dispatch>()) {
        Answer({ .mKind = event::ReplyKind::NotRun, .mWait = aWait });
      }
    }
  }
};

/// Random requests, notices, failures, restarts and lapsed registrations;
/// checks that nothing is sent to a server against its notices.
void RunRandomNotices(std::uint64_t aSeed)
{
  NoticeFixture fixture;
  std::mt19937_64 random(aSeed);
  const auto pick = [&](int aCount) {
    return std::uniform_int_distribution<>(0, aCount - 1)(random);
  };
  std::set<BackendId> leaving;
  std::map<BackendId, TimePoint> waitEnds;
  std::int64_t started = 1;
  std::vector<effect::Dispatch> open;
  const auto forget = [&](RequestId aRequest) {
    std::erase_if(open, [&](const effect::Dispatch& aSent) {
      return aSent.mRequest == aRequest;
    });
  };
  const auto inspect = [&] {
    const EffectList effects = fixture.mLastEffects;
    for (const Effect& effect : effects) {
      BackendId backend;
      if (const auto* const sent = std::get_if<effect::Dispatch>(&effect)) {
        backend = sent->mBackend;
        open.push_back(*sent);
      } else if (const auto* const probe =
                   std::get_if<effect::ProbeBackend>(&effect)) {
        backend = probe->mBackend;
      } else {
        if (const auto* const refuse = std::get_if<effect::Refuse>(&effect)) {
          forget(refuse->mRequest);
        } else if (const auto* const cancel =
                     std::get_if<effect::CancelDispatch>(&effect)) {
          forget(cancel->mRequest);
        }
        continue;
      }
      INFO("seed " << aSeed << ", server " << backend.mName);
      REQUIRE_FALSE(leaving.contains(backend));
      REQUIRE(fixture.mNow >= waitEnds[backend]);
      if (std::get_if<effect::ProbeBackend>(&effect)) {
        const bool isLeaving = pick(4) == 0;
        if (isLeaving) {
          leaving.insert(backend);
        }
        fixture.Deliver(event::BackendProbed{ .mBackend = backend,
                                              .mHasAnswered = true,
                                              .mIsHealthy = pick(2) == 0,
                                              .mIsLeaving = isLeaving });
      }
    }
  };
  for (int n = 0; n < 400; ++n) {
    const int action = pick(10);
    if (action < 4 || (action < 9 && open.empty())) {
      fixture.Request("/prices/" + std::to_string(n));
    } else if (action < 8) {
      const auto it = open.begin() + pick(static_cast<int>(open.size()));
      const effect::Dispatch sent = *it;
      open.erase(it);
      event::BackendReplied reply{ .mRequest = sent.mRequest,
                                   .mAttempt = sent.mAttempt };
      const bool isRefusal = pick(3) == 0;
      reply.mKind =
        isRefusal ? event::ReplyKind::NotRun : event::ReplyKind::Answer;
      reply.mAnswer = std::make_shared<const AnswerContent>(
        AnswerContent{ .mStatus = isRefusal ? 503u : 200u });
      reply.mIsLeaving = pick(8) == 0;
      if (isRefusal && pick(2) == 0) {
        reply.mWait = std::chrono::milliseconds(100 * (1 + pick(20)));
      }
      if (reply.mIsLeaving) {
        leaving.insert(sent.mBackend);
      }
      if (reply.mWait) {
        waitEnds[sent.mBackend] =
          std::max(waitEnds[sent.mBackend], fixture.mNow + *reply.mWait);
      }
      fixture.Deliver(std::move(reply));
    } else if (action == 8) {
      const auto it = open.begin() + pick(static_cast<int>(open.size()));
      const effect::Dispatch sent = *it;
      open.erase(it);
      fixture.Fail(sent,
                   event::FailureStage::BeforeFirstByte,
                   event::FailureKind::Connect);
    } else {
      const BackendId backend("s" + std::to_string(pick(4)));
      if (pick(3) == 0) {
        fixture.Deliver(event::BackendRemoved{ backend });
      }
      if (pick(2) == 0) {
        leaving.erase(backend);
        waitEnds.erase(backend);
        std::erase_if(open, [&](const effect::Dispatch& aSent) {
          return aSent.mBackend == backend;
        });
        fixture.Register(backend.mName, false, ++started);
      }
    }
    inspect();
    fixture.Advance(std::chrono::milliseconds(pick(120)));
    inspect();
  }
}

} // namespace

// Guards against the failure DRAIN: a server that says in its answers that it
// is leaving gets requests until its registration says so too.
TEST_CASE("A server that says that it is leaving gets no further request")
{
  NoticeFixture fixture;
  fixture.Request("/prices/1");
  const BackendId leaving = fixture.Answer({ .mIsLeaving = true });
  CHECK_FALSE(fixture.ServersUsed(std::chrono::seconds(5)).contains(leaving));

  SECTION("although its registration lapses and comes back")
  {
    fixture.Deliver(event::BackendRemoved{ leaving });
    fixture.Register(leaving.mName);
    CHECK_FALSE(fixture.ServersUsed(std::chrono::seconds(5)).contains(leaving));
  }
  SECTION("but a later process with its identifier does")
  {
    fixture.Register(leaving.mName, false, 77);
    // An object that was placed elsewhere meanwhile stays there; others follow
    // their order.
    CHECK(fixture.ServersUsed(std::chrono::seconds(5), 32).contains(leaving));
  }
}

// Guards against heeding only what the answers to requests say.
TEST_CASE("A server may say to a health check that it is leaving")
{
  NoticeFixture fixture;
  const auto used = fixture.ServersUsed(std::chrono::seconds(1));
  REQUIRE(used.size() == 1);
  fixture.Deliver(event::BackendProbed{ .mBackend = *used.begin(),
                                        .mHasAnswered = true,
                                        .mIsHealthy = true,
                                        .mIsLeaving = true });
  CHECK_FALSE(
    fixture.ServersUsed(std::chrono::seconds(5)).contains(*used.begin()));
}

// Guards against a leaving server that each VM has to hear of by itself, and
// against a late message that binds a later process.
TEST_CASE("VMs tell each other which servers are leaving")
{
  NoticeFixture fixture;
  fixture.Deliver(event::VmRegistered{ { .mVm = VmId("vm-2"),
                                         .mIncarnation = { 8 },
                                         .mRegion = RegionId("near"),
                                         .mAddress = "10.0.0.2" } });
  fixture.Request("/prices/1");
  const BackendId leaving = fixture.Answer({ .mIsLeaving = true });
  const auto* const sent = fixture.FindEffect<effect::SendMessage>();
  REQUIRE(sent);
  const Message told = sent->mMessage;
  REQUIRE(std::get_if<message::BackendsLeaving>(&told));

  NoticeFixture other;
  const VmIncarnation sender{ VmId("vm-1"), { 7 } };
  SECTION("of the same process")
  {
    other.Deliver(event::PeerMessageReceived{ sender, told });
    CHECK_FALSE(other.ServersUsed(std::chrono::seconds(5)).contains(leaving));
  }
  SECTION("of a process that has ended")
  {
    other.Register(leaving.mName, false, 77);
    other.Deliver(event::PeerMessageReceived{ sender, told });
    CHECK(other.ServersUsed(std::chrono::seconds(5)).contains(leaving));
  }
}

// Guards against a restart after which a VM uses a server that is leaving,
// since only the process before had heard so.
TEST_CASE("A VM that starts learns which servers are leaving")
{
  NoticeFixture fixture;
  fixture.Request("/prices/1");
  const BackendId leaving = fixture.Answer({ .mIsLeaving = true });
  const VmIncarnation started{ VmId("vm-2"), { 8 } };
  fixture.Deliver(event::VmRegistered{ { .mVm = started.mVm,
                                         .mIncarnation = started.mIncarnation,
                                         .mRegion = RegionId("near"),
                                         .mAddress = "10.0.0.2" } });
  fixture.Deliver(
    event::PeerMessageReceived{ started, message::GatewayStatus{} });
  const auto* const sent = fixture.FindEffect<effect::SendMessage>();
  REQUIRE(sent);
  CHECK(sent->mTo == started.mVm);
  REQUIRE(std::get_if<message::BackendsLeaving>(&sent->mMessage));
  const Message told = sent->mMessage;
  fixture.Deliver(
    event::PeerMessageReceived{ started, message::GatewayStatus{} });
  CHECK_FALSE(fixture.FindEffect<effect::SendMessage>());

  NoticeFixture restarted;
  const VmIncarnation sender{ VmId("vm-1"), { 7 } };
  SECTION("that it knows already")
  {
    restarted.Deliver(event::PeerMessageReceived{ sender, told });
  }
  SECTION("before it has read their registrations")
  {
    restarted.Deliver(event::BackendRemoved{ leaving });
    restarted.Deliver(event::PeerMessageReceived{ sender, told });
    restarted.Register(leaving.mName);
  }
  CHECK_FALSE(restarted.ServersUsed(std::chrono::seconds(5)).contains(leaving));
}

// Guards against an operator who cannot tell since when, until when and from
// where a VM knows what a server asks for.
TEST_CASE("Notices say when and where they were read")
{
  ServerNotices notices(ServerNotices::Options{});
  const TimePoint now{ std::chrono::seconds(100) };
  const Duration second = std::chrono::seconds(1);
  CHECK(notices.OnLeaving(4, NoticeSource::HealthCheck, now));
  CHECK_FALSE(notices.OnLeaving(4, NoticeSource::Answer, now + second));
  REQUIRE(notices.FindLeaving(4));
  CHECK(notices.FindLeaving(4)->mTime == now);
  CHECK(notices.FindLeaving(4)->mSource == NoticeSource::HealthCheck);
  CHECK(notices.OnWait(9, 5 * second, NoticeSource::Answer, now));
  CHECK_FALSE(notices.OnWait(9, second, NoticeSource::HealthCheck, now));
  REQUIRE(notices.FindWait(9));
  CHECK(notices.FindWait(9)->mTime == now + 5 * second);
  CHECK(notices.FindWait(9)->mSource == NoticeSource::Answer);
  CHECK_FALSE(notices.FindWait(4));
  notices.Tick(now + 5 * second);
  CHECK_FALSE(notices.FindWait(9));
}

// Guards against the failure BUDGET: a server that wants nothing for some time
// gets requests and health checks all the same.
TEST_CASE("A server that asks to wait gets nothing until then")
{
  NoticeFixture fixture;
  fixture.Request("/prices/1");
  const BackendId waiting = fixture.Answer(
    { .mKind = event::ReplyKind::NotRun, .mWait = std::chrono::seconds(3) });
  const auto* const retried = fixture.FindEffect<effect::Dispatch>();
  REQUIRE(retried);
  CHECK(retried->mBackend != waiting);
  CHECK_FALSE(
    fixture.ServersUsed(std::chrono::milliseconds(2900)).contains(waiting));
  CHECK(fixture.ServersUsed(std::chrono::seconds(5)).contains(waiting));
}

// Guards against callers that wait for a service whose servers all refuse, and
// that come back too early.
TEST_CASE("Callers are told at once when all servers ask to wait")
{
  NoticeFixture fixture;
  constexpr Duration kWait = std::chrono::milliseconds(4800);
  fixture.LetAllWait(kWait);
  fixture.Request("/orders/1");
  const auto* const refuse = fixture.FindEffect<effect::Refuse>();
  REQUIRE(refuse);
  CHECK(refuse->mRefusal.mExecution == Execution::NotRun);
  CHECK(refuse->mRefusal.mRetryAfter >= kWait);
  fixture.Advance(kWait + std::chrono::milliseconds(100));
  fixture.Request("/orders/2");
  CHECK(fixture.FindEffect<effect::Dispatch>());
}

// Guards against a sender that does not ask whether a server may be used:
// first tries, retries and health checks.
TEST_CASE("No server gets anything against its notices")
{
  // A longer run is started by hand with another number of seeds.
  const char* const text = std::getenv("CW_NOTICE_SEEDS");
  const auto seeds = ParseNumber<std::uint64_t>(text ? text : "").value_or(60);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    RunRandomNotices(seed);
  }
}

} // namespace cranberrywing::gateway
