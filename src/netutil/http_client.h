/// \file
/// HTTP/1.1 client connections that carry one exchange at a time and report
/// how far a failed exchange got.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cranberrywing/http_types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

enum class ExchangeFailureKind : std::uint8_t
{
  Connect,
  Timeout,
  /// The connection ended before the answer did.
  Reset,
  /// Not HTTP, too long, or without a length or terminator to check.
  Malformed,
};

struct ExchangeFailure
{
  ExchangeFailureKind mKind = ExchangeFailureKind::Reset;
  /// Whether a byte of the request may have been handed to the kernel.
  bool mWasSent = false;
  std::string mDetail;
};

using ExchangeResult = tl::expected<AnswerContent, ExchangeFailure>;
using ExchangeHandler = std::function<void(ExchangeResult)>;

struct HttpClientOptions
{
  std::uint32_t mMaxHeaderBytes = 64 * 1024;
  std::uint64_t mMaxBodyBytes = 64 * 1024 * 1024;
  /// Time to connect; zero for no limit but the exchange's own.
  Duration mConnectTimeout{};
  /// Whether an answer may have no length and end with its connection. Its
  /// caller must be able to check by other means that it is whole.
  bool mAcceptsCloseDelimitedBody = false;
  /// Whether TCP keep-alive probes end a connection whose other end has gone
  /// silent, within about three seconds.
  bool mEnableTcpKeepAlive = false;
  /// Part of the idle time that the server states in Keep-Alive after which
  /// the connection is not used again.
  double mKeepAliveFraction = 0.75;
};

/// Whether an answer belongs to the exchange in progress. Others, such as a
/// second answer to an earlier request, are dropped and reading goes on.
using ResponseFilter = std::function<bool(const AnswerContent&)>;

/// Head of a request, ended by an empty line. Content-Length is added; Host
/// is added if the fields lack it. Thread-safe.
std::string SerializeHead(const RequestContent& aRequest,
                          const std::vector<Header>& aExtraHeaders,
                          const Endpoint& aEndpoint);

/// Not thread-safe; belongs to the event loop's thread.
class HttpClientConnection
  : public std::enable_shared_from_this<HttpClientConnection>
{
public:
  HttpClientConnection(boost::asio::io_context& aContext,
                       Endpoint aEndpoint,
                       HttpClientOptions aOptions);

  /// Connects if needed, sends, reads the whole answer and calls the handler
  /// once, never from inside this call. Answers without a length or
  /// terminator count as Malformed. Precondition: no exchange is in progress.
  void Start(RequestContentPtr aRequest,
             std::vector<Header> aExtraHeaders,
             Duration aTimeout,
             ExchangeHandler aHandler,
             ResponseFilter aFilter = {});

  /// Closes the connection. A handler that is due is not called.
  void Close();

  /// Whether another exchange may use the connection: open, idle, and the
  /// other end has neither closed it nor sent bytes that nobody asked for.
  bool IsReusable();

  const Endpoint& Peer() const { return mEndpoint; }

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void OnConnected(boost::system::error_code aError);
  void StartProbes();
  void Send();
  void OnSent(boost::system::error_code aError, std::size_t aBytes);
  void Read();
  void OnRead(boost::system::error_code aError, std::size_t aBytes);
  /// False once the exchange has ended.
  bool Parse();
  void PrepareParser();
  /// False if the answer belongs to another exchange.
  bool OnAnswerRead();
  void NoteKeepAlive(const AnswerContent& aAnswer);
  void StartTimer(Duration aTimeout);
  void Fail(ExchangeFailureKind aKind, std::string aDetail);
  void Finish(ExchangeResult aResult);

  Endpoint mEndpoint;
  HttpClientOptions mOptions;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::string mHead;
  RequestContentPtr mRequest;
  ExchangeHandler mHandler;
  ResponseFilter mFilter;
  Duration mTimeout{};
  /// The server closes the connection when it is idle for this long; zero if
  /// it has not said so.
  Duration mKeepAlive{};
  std::chrono::steady_clock::time_point mIdleSince;
  /// Distinguishes a late operation of an earlier exchange.
  std::uint64_t mExchange = 0;
  bool mIsConnected = false;
  bool mIsActive = false;
  bool mWasSent = false;
  bool mIsSendComplete = false;
  bool mIsKeepAlive = false;
};

using HttpClientConnectionPtr = std::shared_ptr<HttpClientConnection>;

} // namespace cranberrywing::netutil
