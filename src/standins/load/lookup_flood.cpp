#include "standins/load/lookup_flood.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "standins/load/lookup_cache.h"

namespace cranberrywing::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view kOkStatusLine = "HTTP/1.1 200 ";
constexpr std::string_view kStatusLineStart = "HTTP/1.1 ";

/// Keeps a number of lookups in flight on one connection. Answers are counted
/// by their status lines without parsing HTTP; the body of a lookup answer
/// never contains the text of one.
class FloodConnection : public std::enable_shared_from_this<FloodConnection>
{
public:
  FloodConnection(asio::io_context& aContext,
                  std::string aRequest,
                  std::size_t aPipeline,
                  FloodResult& aResult)
    : mSocket(aContext)
    , mRequest(std::move(aRequest))
    , mPipeline(aPipeline)
    , mResult(aResult)
  {
  }

  bool Start(const netutil::Endpoint& aEndpoint)
  {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(aEndpoint.mAddress, ec);
    mSocket.connect(tcp::endpoint(address, aEndpoint.mPort), ec);
    if (ec) {
      return false;
    }
    mSocket.set_option(tcp::no_delay(true), ec);
    Send(mPipeline);
    Read();
    return true;
  }

  void Stop()
  {
    boost::system::error_code ec;
    mSocket.close(ec);
  }

private:
  void Send(std::size_t aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      mQueued += mRequest;
    }
    if (mIsWriting || mQueued.empty()) {
      return;
    }
    mIsWriting = true;
    mWriting.swap(mQueued);
    mQueued.clear();
    asio::async_write(mSocket,
                      asio::buffer(mWriting),
                      [self = shared_from_this()](
                        boost::system::error_code aError, std::size_t) {
                        self->mIsWriting = false;
                        if (!aError) {
                          self->Send(0);
                        }
                      });
  }

  void Read()
  {
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](boost::system::error_code aError,
                                  std::size_t aBytes) {
        if (aError) {
          return;
        }
        self->Count(aBytes);
        self->Read();
      });
  }

  void Count(std::size_t aBytes)
  {
    mReceived.append(mBuffer.data(), aBytes);
    std::size_t answers = 0;
    std::size_t next = 0;
    std::size_t found = mReceived.find(kStatusLineStart);
    while (found != std::string::npos &&
           found + kOkStatusLine.size() <= mReceived.size()) {
      const bool isOk =
        mReceived.compare(found, kOkStatusLine.size(), kOkStatusLine) == 0;
      ++(isOk ? mResult.mAnswers : mResult.mFailures);
      ++answers;
      next = found + kOkStatusLine.size();
      found = mReceived.find(kStatusLineStart, next);
    }
    // Keep the end of the buffer: it may hold the start of a status line whose
    // rest has not been received yet.
    const std::size_t kept =
      std::min(mReceived.size() - next, kOkStatusLine.size());
    mReceived.erase(0, mReceived.size() - kept);
    Send(answers);
  }

  tcp::socket mSocket;
  std::string mRequest;
  std::size_t mPipeline;
  FloodResult& mResult;
  std::string mQueued;
  std::string mWriting;
  std::string mReceived;
  std::array<char, 64 * 1024> mBuffer{};
  bool mIsWriting = false;
};

} // namespace

Result<FloodResult> RunLookupFlood(const LoadOptions& aOptions)
{
  asio::io_context context(1);
  FloodResult result;
  const std::string request = "GET " + LookupTarget(aOptions, false) +
                              " HTTP/1.1\r\nHost: lookup\r\n\r\n";
  std::vector<std::shared_ptr<FloodConnection>> connections;
  for (std::size_t n = 0; n < aOptions.mConnections; ++n) {
    const auto& daemon = aOptions.mDaemons[n % aOptions.mDaemons.size()];
    connections.push_back(std::make_shared<FloodConnection>(
      context, request, aOptions.mPipeline, result));
    if (!connections.back()->Start(daemon)) {
      return MakeError(ResultCode::PeerUnreachable,
                       "cannot connect to " + netutil::ToString(daemon));
    }
  }
  const auto start = std::chrono::steady_clock::now();
  context.run_for(aOptions.mStartPeriod);
  result.mSeconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
  for (const auto& connection : connections) {
    connection->Stop();
  }
  context.restart();
  context.run();
  return result;
}

} // namespace cranberrywing::standins
