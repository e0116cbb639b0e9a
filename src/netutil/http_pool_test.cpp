#include "netutil/http_pool.h"

#include "netutil/exchange_for_tests.h"
#include "netutil/scripted_server_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

const std::string kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A server that answers on each connection until the script of a test ends,
/// and a pool.
struct Fixture
{
  explicit Fixture(std::size_t aResponses)
    : mServer(mContext, std::vector<std::string>(aResponses, kResponse))
  {
  }

  /// Runs an exchange and returns the number of connections opened so far.
  std::uint64_t Exchange(std::optional<std::string> aId)
  {
    const ExchangeResult result = netutil::Exchange(
      mContext, mPool, mServer.Address(), "GET", { .mId = std::move(aId) });
    REQUIRE(result.has_value());
    return mPool.OpenedCount();
  }

  boost::asio::io_context mContext{ 1 };
  ScriptedServer mServer;
  HttpClientPool mPool{ mContext, {} };
};

} // namespace

// Guards against the failures REFUSED and TWICE: a second response to an
// exchange is taken for the response to a later one of the same identifier.
TEST_CASE("a connection carries each identifier once")
{
  Fixture fixture(8);
  CHECK(fixture.Exchange("a") == 1);
  CHECK(fixture.Exchange("b") == 1);
  CHECK(fixture.Exchange("a") == 2);
  CHECK(fixture.Exchange("c") == 2);
  CHECK(fixture.mPool.PassedOverCount() == 1);
  CHECK(fixture.Exchange("b") == 2);
  CHECK(fixture.Exchange("a") == 3);
  CHECK(fixture.mPool.PassedOverCount() == 2);
}

// Guards against a caller that sends one identifier again and again and so
// occupies the connections that a server accepts.
TEST_CASE("a connection that is passed over makes room for the new one")
{
  Fixture fixture(8);
  for (std::uint64_t n = 1; n <= 5; ++n) {
    CHECK(fixture.Exchange("a") == n);
    CHECK(fixture.mPool.IdleCount(fixture.mServer.Address()) == 1);
  }
}

// Guards against a health check that is answered by a second response to an
// earlier one, and tells what the server said of itself then.
TEST_CASE("an exchange without an identifier is the first on its connection")
{
  Fixture fixture(8);
  CHECK(fixture.Exchange("a") == 1);
  CHECK(fixture.Exchange("") == 2);
  CHECK(fixture.Exchange("") == 3);
  CHECK(fixture.Exchange("b") == 3);
}

// Guards against connections to a server that answers once being closed as
// those to others are.
TEST_CASE("exchanges whose server answers once share a connection")
{
  Fixture fixture(8);
  CHECK(fixture.Exchange({}) == 1);
  CHECK(fixture.Exchange({}) == 1);
}

// Guards against memory of identifiers without a bound on a connection that is
// used for long.
TEST_CASE("a connection is closed once it has carried its limit of identifiers")
{
  Fixture fixture(CarriedIdentifiers::kMaxIdentifiers + 1);
  for (std::size_t n = 0; n < CarriedIdentifiers::kMaxIdentifiers; ++n) {
    REQUIRE(fixture.Exchange(std::to_string(n)) == 1);
  }
  CHECK(fixture.Exchange("last") == 2);
}
