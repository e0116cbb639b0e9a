#include <catch2/catch.hpp>

#include "netutil/base64.h"
#include "netutil/endpoint.h"
#include "netutil/headers.h"
#include "netutil/target.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

// A path that the route table and a backend server interpret differently would
// bypass the authorization of the route.
TEST_CASE("targets with dot segments are rejected in every encoding")
{
  for (const char* target : { "/open/../private",
                              "/open/%2e%2E/private",
                              "/open/..%2fprivate",
                              "/open/..\\private",
                              "/open/%2e",
                              "/..",
                              "/a%00b",
                              "relative" }) {
    INFO(target);
    CHECK_FALSE(NormalizeTarget(target).has_value());
  }
  CHECK(NormalizeTarget("/a.b/..c?x=../y") == "/a.b/..c?x=../y");
  CHECK(NormalizeTarget("http://host:1/a?b") == "/a?b");
  CHECK(NormalizeTarget("http://host") == "/");
}

// Guards against using query values that are still percent-encoded.
TEST_CASE("query parameters are decoded")
{
  const auto target = ParseTarget("/v1/lookup?client=10.0.0.1&key=a%20b%26");
  REQUIRE(target.has_value());
  CHECK(target->mPath == "/v1/lookup");
  CHECK(*target->Find("key") == "a b&");
  CHECK(target->Find("route") == nullptr);
}

// Guards against forwarding header fields that apply to one connection only.
TEST_CASE(
  "hop-by-hop headers are removed, including those listed in Connection")
{
  std::vector<Header> headers{
    { "connection", "close, X-Hop" },
    { "x-hop", "1" },
    { "TE", "trailers" },
    { "Transfer-Encoding", "chunked" },
    { "Proxy-Authorization", "x" },
    { "X-Kept", "2" },
  };
  EraseHopByHopHeaders(headers);
  CHECK(headers == std::vector<Header>{ { "X-Kept", "2" } });
}

// Guards against corruption of keys and values on their way to the store.
TEST_CASE("base64 round-trips every byte value and rejects invalid text")
{
  std::string bytes;
  for (int n = 0; n < 256; ++n) {
    bytes += static_cast<char>(n);
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  CHECK(EncodeBase64("ab") == "YWI=");
  CHECK_FALSE(DecodeBase64("YWI").has_value());
  CHECK_FALSE(DecodeBase64("Y*I=").has_value());
}

// Guards against accepting host names, which would need a resolver, and against
// truncating ports to 16 bits.
TEST_CASE("endpoints must be numeric")
{
  CHECK(ParseEndpoint("127.0.0.1:80") == Endpoint{ "127.0.0.1", 80 });
  CHECK(ParseEndpoint("[::1]:80") == Endpoint{ "::1", 80 });
  for (const char* text :
       { "2001:db8::1:80", "host:80", "127.0.0.1", "1.2.3.4:65536", ":1" }) {
    CHECK_FALSE(ParseEndpoint(text).has_value());
  }
}
