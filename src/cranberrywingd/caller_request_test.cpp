#include "cranberrywingd/caller_request.h"

#include <catch2/catch.hpp>

#include "netutil/headers.h"

using namespace cranberrywing;
using namespace cranberrywing::daemon;

namespace {

RequestContent WithHeaders(std::vector<Header> aHeaders)
{
  return { .mMethod = "POST",
           .mTarget = "/orders",
           .mHeaders = std::move(aHeaders),
           .mBody = "b" };
}

} // namespace

// Guards against a caller's key or ticket reaching a backend server.
TEST_CASE("control fields are removed from the content")
{
  const auto read = ReadCallerRequest(WithHeaders({
    { "authorization", "bearer  secret-key" },
    { "IDEMPOTENCY-KEY", "order-1" },
    { "cranberrywing-ticket", "v1.ticket" },
    { "x-request-deadline-ms", "1500" },
    { "Cranberrywing-Replayed", "true" },
    { "Connection", "X-Hop" },
    { "X-Hop", "1" },
    { "Proxy-Authorization", "secret-key" },
    { "Accept", "text/plain" },
  }));
  REQUIRE(read.has_value());
  CHECK(read->mKey == "secret-key");
  CHECK(read->mIdempotencyKey == "order-1");
  CHECK(read->mTicket == "v1.ticket");
  CHECK(read->mTimeout == std::chrono::milliseconds(1500));
  CHECK(read->mContent.mHeaders ==
        std::vector<Header>{ { "IDEMPOTENCY-KEY", "order-1" },
                             { "Accept", "text/plain" } });
}

// Guards against inconsistent identities: with a repeated field, the core could
// use the first value and the backend server the second.
TEST_CASE("repeated or malformed control fields are rejected")
{
  const std::vector<std::vector<Header>> bad{
    { { "Idempotency-Key", "a" }, { "idempotency-key", "b" } },
    { { "Authorization", "Bearer a" }, { "Authorization", "Bearer b" } },
    { { "Cranberrywing-Ticket", "a" }, { "Cranberrywing-Ticket", "a" } },
    { { "Idempotency-Key", "" } },
    { { "Idempotency-Key", std::string(513, 'k') } },
    { { "X-Request-Deadline-Ms", "0" } },
    { { "X-Request-Deadline-Ms", "-5" } },
    { { "X-Request-Deadline-Ms", "5 s" } },
    { { "X-Request-Deadline-Ms", "99999999999999999999" } },
  };
  for (const auto& headers : bad) {
    const auto read = ReadCallerRequest(WithHeaders(headers));
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().mMessage.find("Bearer") == std::string::npos);
  }
  const auto basic =
    ReadCallerRequest(WithHeaders({ { "Authorization", "Basic a2V5" } }));
  REQUIRE(basic.has_value());
  CHECK(basic->mKey.empty());
  CHECK(basic->mContent.mHeaders.empty());
}

// Guards against a backend server setting cranberrywing's reserved fields, and
// against a duplicate Content-Length.
TEST_CASE(
  "reserved and hop-by-hop fields are removed from a backend server's answer")
{
  AnswerContent answer{ .mStatus = 200,
                        .mHeaders = { { "Content-Length", "5" },
                                      { "Keep-Alive", "x" },
                                      { "cranberrywing-replayed", "true" },
                                      { "ETag", "\"1\"" } },
                        .mBody = "hello" };
  AnswerContent head = answer;
  SanitizeAnswer(answer, false);
  CHECK(answer.mHeaders == std::vector<Header>{ { "ETag", "\"1\"" } });
  SanitizeAnswer(head, true);
  CHECK(netutil::CountHeaders(head.mHeaders, "Content-Length") == 1);
}
