#include <catch2/catch.hpp>

#include "cranberrywingd/backend_client.h"
#include "cranberrywingd/backend_prober.h"
#include "cranberrywingd/frame_codec.h"
#include "cranberrywingd/lookup_api.h"
#include "cranberrywingd/timeline.h"
#include "cranberrywingd/vm_list_poller.h"

using namespace cranberrywing;
using namespace cranberrywing::daemon;

// Guards against frames lost or merged when TCP splits them.
TEST_CASE("frames survive any split and a false length is refused")
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

// Guards against proof of death by a damaged list: one that cannot be read
// in full must not be used at all.
TEST_CASE("a VM list with one bad entry is no list")
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

// Guards G9: any other 503 taken for the statement that nothing ran.
TEST_CASE("only a marked 503 says that a request was not run")
{
  AnswerContent answer{ .mStatus = 503, .mHeaders = {}, .mBody = {} };
  CHECK_FALSE(ReadShedStatement(answer).mIsShed);
  answer.mHeaders = { { "cranberrywing-not-run", "1" },
                      { "Retry-After", "2" } };
  CHECK(ReadShedStatement(answer).mIsShed);
  CHECK(ReadShedStatement(answer).mRetryAfter == std::chrono::seconds(2));
  answer.mStatus = 500;
  CHECK_FALSE(ReadShedStatement(answer).mIsShed);
  answer.mStatus = 503;
  answer.mHeaders = { { "Cranberrywing-Not-Run", "0" } };
  CHECK_FALSE(ReadShedStatement(answer).mIsShed);
}

// Guards against a time-out after sending that counts as safe to repeat.
TEST_CASE("the stage of a failure follows the bytes that were sent")
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

// Guards against a dead or unreadable server that counts as healthy, and
// against numbers that would poison later sums.
TEST_CASE("health and load reports are read with care")
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

// Guards against lookups for the wrong client and answers that callers
// cannot parse.
TEST_CASE("lookups are read and answered")
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

// Guards against a value that forges a second log line or field.
TEST_CASE("log values are quoted and escaped")
{
  CHECK(FormatLogLine({ "e", { { "a", "1" }, { "b", "x y=\"\n" } } }) ==
        R"(event=e a=1 b="x y=\"\x0a")");
}

// Guards against a reader of the time line that misses or repeats entries.
TEST_CASE("the time line keeps the last entries by number")
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
