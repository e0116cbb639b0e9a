/// \file
/// HTTP/1.1 server on one Asio event loop: keep-alive, pipelining with
/// answers in order, limits, chunked answers. Answers may come at any time
/// and in any order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/http_types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

/// Identifies a connection inside one server.
enum class ConnectionId : std::uint64_t
{
};

/// One request and its answer on a connection.
struct ExchangeId
{
  ConnectionId mConnection{};
  std::uint64_t mNumber = 0;

  // clang-tidy 14 takes the generated comparison's zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ExchangeId&) const = default;
};

struct HttpServerOptions
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 8 * 1024 * 1024;
  /// Requests of one connection that may wait for answers; reading pauses
  /// beyond them.
  std::size_t mMaxPipelinedRequests = 64;
  /// Connections at one time; accepting pauses beyond them.
  std::size_t mMaxConnections = 20'000;
  /// Time without any request after which a connection is closed.
  Duration mIdleTimeout = std::chrono::seconds(60);
  /// Time from a request's first byte to its last.
  Duration mReadTimeout = std::chrono::seconds(15);
  /// Time without progress while an answer is written.
  Duration mWriteTimeout = std::chrono::seconds(15);
};

struct HttpServerHooks
{
  /// A whole request was read. Exactly one answer is due, unless the
  /// exchange is aborted. The hook may answer at once.
  std::function<void(const ExchangeId&, RequestContent&&)> mOnRequest;
  /// The connection ended before the answer was given.
  std::function<void(const ExchangeId&)> mOnAborted;
};

/// How an answer is sent.
struct ResponseOptions
{
  /// Whether the connection is closed once every request that was read on it
  /// has its answer.
  bool mCloseAfter = false;
  /// Added to the answer's own fields.
  std::vector<Header> mExtraHeaders;
};

class HttpSession;

/// Not thread-safe; belongs to the event loop's thread.
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext,
             HttpServerOptions aOptions,
             HttpServerHooks aHooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept. Errors: InvalidArgument with the address.
  Result<void> Listen(const Endpoint& aEndpoint);
  /// Port in use, for endpoints with port zero.
  std::uint16_t Port() const;
  /// Closes the listening socket; connections go on.
  void StopAccepting();

  /// Ignored if the exchange has ended.
  void Answer(const ExchangeId& aExchange,
              AnswerContentPtr aAnswer,
              const ResponseOptions& aOptions);
  /// Starts an answer of unknown length, sent in chunks. It must be the
  /// connection's only open exchange.
  void StartStream(const ExchangeId& aExchange, const AnswerContent& aHead);
  void WriteChunk(const ExchangeId& aExchange, std::string_view aBytes);
  void EndStream(const ExchangeId& aExchange);

  /// Closes each connection after the answers that are due; idle ones at once.
  void CloseAllAfterResponses();
  /// Closes without answering.
  void Abort(ConnectionId aConnection);
  void AbortAll();
  /// Address of the connection's other end; empty if it has ended.
  std::string RemoteAddress(ConnectionId aConnection) const;
  std::size_t ConnectionCount() const { return mSessions.size(); }
  /// Applies to requests whose header is read from now on.
  void SetBodyLimit(std::size_t aBytes) { mOptions.mMaxBodyBytes = aBytes; }
  /// As SetBodyLimit, for the header. The limits of time apply at once.
  void SetLimits(std::size_t aHeaderBytes,
                 Duration aReadLimit,
                 Duration aIdleLimit)
  {
    mOptions.mMaxHeaderBytes = aHeaderBytes;
    mOptions.mReadTimeout = aReadLimit;
    mOptions.mIdleTimeout = aIdleLimit;
  }

private:
  friend class HttpSession;
  using SessionPtr = std::shared_ptr<HttpSession>;

  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void PauseAccepting();
  void Sweep();
  std::vector<SessionPtr> AllSessions() const;
  /// Called by a session when its socket is closed.
  void OnEnded(ConnectionId aConnection);
  SessionPtr Find(ConnectionId aConnection) const;

  boost::asio::io_context& mContext;
  HttpServerOptions mOptions;
  HttpServerHooks mHooks;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mSweepTimer;
  boost::asio::steady_timer mAcceptTimer;
  std::unordered_map<ConnectionId, SessionPtr> mSessions;
  std::uint64_t mNextConnection = 1;
  /// Time as of the last sweep; precise enough for limits in seconds and
  /// cheaper than reading a clock for each request.
  std::chrono::steady_clock::time_point mNow;
  bool mIsAcceptPaused = false;
};

} // namespace cranberrywing::netutil
