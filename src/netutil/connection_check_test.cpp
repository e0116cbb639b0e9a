#include "netutil/connection_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace cranberrywing;
using namespace cranberrywing::netutil;
using boost::asio::ip::tcp;

namespace {

tcp::endpoint Loopback()
{
  return { boost::asio::ip::address_v4::loopback(), 0 };
}

} // namespace

// Guards against a server that is not running being taken for one that is
// reached, and against a check without a result.
TEST_CASE("a check of a connection tells whether the server accepts")
{
  boost::asio::io_context context(1);
  std::optional<tcp::acceptor> acceptor(std::in_place, context, Loopback());
  const Endpoint server{ "127.0.0.1", acceptor->local_endpoint().port() };
  std::vector<bool> results;
  const auto check = [&] {
    CheckConnection(context, server, std::chrono::seconds(5), [&](bool aIs) {
      results.push_back(aIs);
    });
    CHECK(results.empty());
    context.restart();
    context.run();
    return std::exchange(results, {});
  };
  CHECK(check() == std::vector<bool>{ true });
  acceptor.reset();
  CHECK(check() == std::vector<bool>{ false });
}

// Guards against a VM that takes its links for lost because its process was
// paused for longer than the check may last.
TEST_CASE("a check that ends during a pause of the process is no failure")
{
  boost::asio::io_context context(1);
  const tcp::acceptor acceptor(context, Loopback());
  const Endpoint server{ "127.0.0.1", acceptor.local_endpoint().port() };
  std::optional<bool> result;
  CheckConnection(context,
                  server,
                  std::chrono::milliseconds(20),
                  [&](bool aIs) { result = aIs; });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  context.run();
  CHECK(result == true);
}
