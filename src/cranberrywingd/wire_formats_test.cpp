#include <catch2/catch.hpp>

#include "cranberrywingd/backend_client.h"
#include "cranberrywingd/backend_prober.h"
#include "cranberrywingd/frame_codec.h"
#include "cranberrywingd/lookup_api.h"
#include "cranberrywingd/timeline.h"
#include "cranberrywingd/vm_list_poller.h"
#include "netutil/http_server.h"
#include "netutil/loopback_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::daemon;

// Guards against losing or merging frames when TCP splits them.
TEST_CASE("frames are decoded at any split and an invalid length is rejected")
{
  const std::string stream = EncodeFrame("one") + EncodeFrame("second");
  for (std::size_t n = 0; n <= stream.size(); ++n) {
    FrameReader reader;
    auto frames = *reader.Add(stream.substr(0, n));
    const auto rest = *reader.Add(stream.substr(n));
    frames.insert(frames.end(), rest.begin(), rest.end());
    CHECK(frames == std::vector<std::string>{ "one", "second" });
  }
  CHECK_FALSE(FrameReader(10).Add(EncodeFrame(std::string(11, 'x'))));
  CHECK_FALSE(FrameReader().Add(std::string(4, '\0')));
}

// Guards against a stopped daemon that goes on polling: the answer to the
// request in progress arrives after the stop.
TEST_CASE("a VM list poller that was stopped handles no further answer")
{
  boost::asio::io_context context(1);
  std::optional<netutil::ExchangeId> asked;
  netutil::HttpServer server(
    context,
    {},
    { .mOnRequest = [&](const netutil::ExchangeId& aExchange,
                        RequestContent&&) { asked = aExchange; },
      .mOnAborted = [](const netutil::ExchangeId&) {} });
  REQUIRE(server.Listen({ "127.0.0.1", 0 }));
  int lists = 0;
  VmListPoller poller(
    context,
    { .mEndpoint = { "127.0.0.1", server.Port() }, .mTarget = "/vms" },
    [&](Event) { ++lists; });
  poller.Start();
  REQUIRE(netutil::RunUntil(context, [&] { return asked.has_value(); }));
  poller.Stop();
  server.Answer(*asked,
                std::make_shared<const AnswerContent>(
                  AnswerContent{ .mStatus = 200, .mBody = "[]" }),
                {});
  // Enough for the answer to arrive over loopback.
  for (int n = 0; n < 300; ++n) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(1));
  }
  CHECK(lists == 0);
}

// Guards against declaring VMs dead because of a corrupt list: a list that is
// malformed in part must be rejected as a whole.
TEST_CASE("a VM list with a malformed entry is rejected")
{
  const std::string good =
    R"({"targets":["127.0.0.1:1"],"labels":{"vm":"a","state":"leaving"}})";
  const auto list = DecodeVmList("[" + good + "]");
  REQUIRE(list.has_value());
  CHECK(list->mEntries[0].mVm == VmId("a"));
  CHECK(list->mEntries[0].mLeaving);
  CHECK_FALSE(DecodeVmList("[" + good + ",{}]").has_value());
  CHECK_FALSE(
    DecodeVmList(R"([{"labels":{"vm":"a","state":"odd"}}])").has_value());
  CHECK_FALSE(DecodeVmList("[" + good).has_value());
  CHECK_FALSE(DecodeVmList("").has_value());
}

// Guards against taking another 503 as proof that the request was not run.
TEST_CASE("only a marked 503 means that a request was not run")
{
  AnswerContent answer{ .mStatus = 503, .mHeaders = {}, .mBody = {} };
  CHECK_FALSE(ReadShedStatus(answer).mIsShed);
  answer.mHeaders = { { "cranberrywing-not-run", "1" },
                      { "Retry-After", "2" } };
  CHECK(ReadShedStatus(answer).mIsShed);
  CHECK(ReadShedStatus(answer).mRetryAfter == std::chrono::seconds(2));
  answer.mStatus = 500;
  CHECK_FALSE(ReadShedStatus(answer).mIsShed);
  answer.mStatus = 503;
  answer.mHeaders = { { "Cranberrywing-Not-Run", "0" } };
  CHECK_FALSE(ReadShedStatus(answer).mIsShed);
}

// Guards against a refusal that a server repeats late on a kept connection, and
// that was taken for the refusal of a request which the server ran.
TEST_CASE("a shed answer on a kept connection has to name its attempt")
{
  using netutil::ConnectionUse;
  AnswerContent answer{ .mStatus = 503,
                        .mHeaders = { { "Cranberrywing-Not-Run", "1" } },
                        .mBody = {} };
  CHECK(IsAnswerToAttempt(answer, "2-1", ConnectionUse::First));
  CHECK_FALSE(IsAnswerToAttempt(answer, "2-1", ConnectionUse::Repeated));
  answer.mHeaders.push_back({ "Cranberrywing-Attempt", "2-1" });
  CHECK(IsAnswerToAttempt(answer, "2-1", ConnectionUse::Repeated));
  CHECK_FALSE(IsAnswerToAttempt(answer, "3-1", ConnectionUse::Repeated));
  CHECK_FALSE(IsAnswerToAttempt(answer, "3-1", ConnectionUse::First));
  const AnswerContent plain{ .mStatus = 200, .mHeaders = {}, .mBody = {} };
  CHECK(IsAnswerToAttempt(plain, "2-1", ConnectionUse::Repeated));
}

// Guards against work that runs twice: a server writes a refusal to a new
// connection before it reads the request, which it then runs.
TEST_CASE("a shed answer that names no attempt leaves the outcome unknown")
{
  AnswerContent answer{ .mStatus = 503,
                        .mHeaders = { { "Cranberrywing-Not-Run", "1" } },
                        .mBody = {} };
  const auto unnamed = DescribeRefusal(answer);
  REQUIRE(unnamed);
  CHECK(unnamed->mStage == event::FailureStage::AfterFirstByte);
  CHECK(unnamed->mKind != event::FailureKind::Shed);
  answer.mHeaders.push_back({ "Cranberrywing-Attempt", "2-1" });
  REQUIRE(DescribeRefusal(answer));
  CHECK(DescribeRefusal(answer)->mKind == event::FailureKind::Shed);
  answer.mStatus = 200;
  CHECK_FALSE(DescribeRefusal(answer));
}

// Guards against treating a timeout after sending as safe to retry.
TEST_CASE("the stage of a failure depends on whether bytes were sent")
{
  using netutil::ExchangeFailureKind;
  const auto before =
    DescribeFailure({ ExchangeFailureKind::Timeout, false, "" });
  CHECK(before.mStage == event::FailureStage::BeforeFirstByte);
  CHECK(before.mKind == event::FailureKind::Timeout);
  const auto after = DescribeFailure({ ExchangeFailureKind::Reset, true, "" });
  CHECK(after.mStage == event::FailureStage::AfterFirstByte);
  CHECK(after.mKind == event::FailureKind::Reset);
}

// Guards against treating a server as healthy that is unreachable, and against
// non-finite or negative numbers in later sums.
TEST_CASE("health and load reports are validated")
{
  const BackendId id("b");
  const auto answer = [](unsigned aStatus, const std::string& aBody) {
    return netutil::ExchangeResult(
      AnswerContent{ .mStatus = aStatus, .mHeaders = {}, .mBody = aBody });
  };
  const netutil::ExchangeResult dead =
    tl::unexpected(netutil::ExchangeFailure{});
  CHECK_FALSE(ReadHealth(id, dead).mHealthy);
  CHECK(ReadHealth(id, answer(200, "ok")).mHealthy);
  CHECK(ReadHealth(id, answer(503, R"({"status":"draining"})")).mDraining);
  CHECK_FALSE(ReadLoad(answer(200, "{}")).has_value());
  CHECK_FALSE(ReadLoad(answer(404, "")).has_value());
  const auto load = ReadLoad(
    answer(200,
           R"({"cpu_utilization":0.5,"rps_fractional":-1,"named_metrics":)"
           R"({"in_flight":1e300}})"));
  REQUIRE(load.has_value());
  CHECK(load->mUtilization == 0.5);
  CHECK(load->mRequestsPerSecond == 0);
  CHECK(load->mInFlight == 1'000'000'000);
}

// Guards against lookups for the wrong client, and against answers that callers
// cannot parse.
TEST_CASE("lookups are decoded and their answers encoded")
{
  const auto query =
    ReadLookup("/v1/lookup?client=10.0.0.1&account=a&route=r&key=k%20", "");
  REQUIRE(query.has_value());
  CHECK(query->mLookup.mClientAddress == 0x0a000001);
  CHECK(query->mLookup.mIdempotencyKey == "k ");
  CHECK(ReadLookup("/v1/lookup", "127.0.0.2")->mLookup.mClientAddress ==
        0x7f000002);
  CHECK_FALSE(ReadLookup("/v1/lookup?client=host", "").has_value());
  CHECK_FALSE(ReadLookup("/v1/lookup?client=1.2.3.4&ticket=1", "").has_value());
  CHECK_FALSE(HasPath("/v1/lookups", kLookupPath));

  effect::AnswerLookup answer;
  answer.mVms = { { VmId("vm\"1"), "127.0.0.1", 7001 },
                  { VmId("vm-2"), "127.0.0.1", 7002 } };
  answer.mLifetime = std::chrono::seconds(5);
  CHECK(EncodeLookup(answer, nullptr)->mBody ==
        R"({"vms":[{"vm":"vm\"1","address":"127.0.0.1","port":7001},)"
        R"({"vm":"vm-2","address":"127.0.0.1","port":7002}],)"
        R"("lifetime_ms":5000})");
  const effect::AnswerTicket elsewhere{
    .mTicket = "", .mOwner = { VmId("vm-2"), "127.0.0.1", 7002 }
  };
  const auto redirect = EncodeTicket(elsewhere, "/v1/tickets?route=r");
  CHECK(redirect->mStatus == 307);
  CHECK(redirect->mHeaders[0].mValue ==
        "http://127.0.0.1:7002/v1/tickets?route=r");
}

// Guards against log injection: a value must not add a log line or field.
TEST_CASE("log values are quoted and escaped")
{
  CHECK(FormatLogLine({ "e", { { "a", "1" }, { "b", "x y=\"\n" } } }) ==
        R"(event=e a=1 b="x y=\"\x0a")");
}

// Guards against missing or repeated entries when the timeline is read in
// parts.
TEST_CASE("the timeline keeps the most recent entries")
{
  Timeline timeline(2);
  for (const char* name : { "a", "b", "c" }) {
    timeline.Record({ name, {} }, 0);
  }
  REQUIRE(timeline.Since(0).size() == 2);
  CHECK(timeline.Since(0)[0].mRecord.mName == "b");
  CHECK(timeline.Since(3).size() == 1);
  CHECK(timeline.Since(timeline.NextNumber()).empty());
}
