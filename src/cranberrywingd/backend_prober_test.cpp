#include "cranberrywingd/backend_prober.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "netutil/loopback_for_tests.h"

using namespace cranberrywing;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Response with the identifier of the request.
std::string Response(const std::string& aRequest, const std::string& aStatus)
{
  const std::string name = "Cranberrywing-Attempt: ";
  const auto id = aRequest.find(name);
  REQUIRE(id != std::string::npos);
  const std::string body = R"({"status":")" + aStatus + "\"}";
  return "HTTP/1.1 200 OK\r\n" +
         aRequest.substr(id, aRequest.find("\r\n", id) - id) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// A server that reports its status. A connection on which it has reported that
/// it is draining gets that report a second time, before the next response.
class RepeatingServer
{
public:
  explicit RepeatingServer(boost::asio::io_context& aContext)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
  }

  std::uint16_t Port() const { return mAcceptor.local_endpoint().port(); }

  std::string mStatus = "draining";
  std::size_t mRequests = 0;

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, Tcp::socket aSocket) {
        if (!aError) {
          Read(std::make_shared<Tcp::socket>(std::move(aSocket)), "");
          Accept();
        }
      });
  }

  void Read(const std::shared_ptr<Tcp::socket>& aSocket,
            const std::string& aRepeated)
  {
    const auto buf = std::make_shared<std::array<char, 4096>>();
    aSocket->async_read_some(
      boost::asio::buffer(*buf),
      [this, aSocket, aRepeated, buf](boost::system::error_code aError,
                                      std::size_t aBytes) {
        if (aError) {
          return;
        }
        ++mRequests;
        const std::string response =
          Response(std::string(buf->data(), aBytes), mStatus);
        boost::asio::write(*aSocket, boost::asio::buffer(aRepeated + response));
        Read(aSocket, mStatus == "draining" ? response : "");
      });
  }

  Tcp::acceptor mAcceptor;
};

} // namespace

// Guards against a second response to a health check that is taken for the
// response to a later one, and tells what the server said of itself before.
TEST_CASE("A repeated health report is not taken for a later one")
{
  boost::asio::io_context context(1);
  RepeatingServer server(context);
  std::vector<event::HealthReported> reports;
  daemon::BackendProber prober(context, [&](Event aEvent) {
    if (const auto* const report =
          std::get_if<event::HealthReported>(&aEvent)) {
      reports.push_back(*report);
    }
  });
  const auto probe = [&] {
    const std::size_t before = server.mRequests;
    const std::size_t count = reports.size() + 1;
    prober.Execute({ .mBackend = BackendId("b"),
                     .mAddress = "127.0.0.1",
                     .mPort = server.Port() });
    REQUIRE(netutil::RunUntil(context, [&] {
      return reports.size() == count && server.mRequests == before + 2;
    }));
    // The response to the request for the load arrives.
    int polls = 0;
    netutil::RunUntil(context, [&] { return ++polls > 20; });
    return reports.back();
  };
  CHECK(probe().mDraining);
  server.mStatus = "ready";
  const auto report = probe();
  CHECK(report.mHasAnswered);
  CHECK_FALSE(report.mDraining);
}
