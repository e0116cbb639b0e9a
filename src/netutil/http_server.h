/// \file
/// HTTP/1.1 server on a single Asio event loop. Supports keep-alive,
/// pipelining, limits and chunked responses. Responses may be given at any time
/// and in any order; they are sent in the order of the requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/http_types.h"
#include "netutil/connection_id.h"
#include "netutil/endpoint.h"
#include "netutil/output_budget.h"

namespace cranberrywing::netutil {

/// Identifies an exchange: one request on a connection and its response.
struct ExchangeId
{
  ConnectionId mConnection{};
  std::uint64_t mNumber = 0;

  // clang-tidy 14 mistakes the zero in the generated comparison for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ExchangeId&) const = default;
};

/// Limits of a server. Sizes are in bytes.
struct HttpServerOptions
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 8 * 1024 * 1024;
  /// Maximum memory for the bodies of all requests that have no response yet.
  /// At the limit, reading from a connection pauses before the body, so that
  /// the caller waits. A sixteenth is left for small bodies.
  std::size_t mMaxBodyMemory = std::numeric_limits<std::size_t>::max();
  /// Time for which a body waits for memory; then the request is rejected with
  /// status 503. One that the limit never permits is rejected at once.
  Duration mMaxMemoryWait = std::chrono::seconds(1);
  /// Maximum number of requests on one connection that await responses. At the
  /// limit, reading from the connection pauses.
  std::size_t mMaxPipelinedRequests = 64;
  /// Maximum number of concurrent connections. At the limit, accepting pauses.
  std::size_t mMaxConnections = 20'000;
  /// Memory for responses that clients have not received, over all connections;
  /// 0 for no limit. Above it, connections that hold more than an equal share
  /// read no further requests. If it is exceeded by a quarter, connections
  /// whose clients take nothing for a second are closed, largest first.
  std::size_t mMaxHeldBytes = 0;
  /// Time without a request after which a connection is closed.
  Duration mIdleTimeout = std::chrono::seconds(60);
  /// Maximum time from the first to the last byte of a request; then it is
  /// rejected with status 408.
  Duration mReadTimeout = std::chrono::seconds(15);
  /// Time without write progress after which a connection is closed.
  Duration mWriteTimeout = std::chrono::seconds(15);
};

/// A connection that was closed since its client did not take its responses.
struct SlowClient
{
  std::string mAddress;
  /// Memory that its responses held.
  std::size_t mBytes = 0;
  Duration mWithoutProgress{};
};

/// Callbacks of a server, called from the event loop.
struct HttpServerHooks
{
  /// A complete request was read. Exactly one response must be given, unless
  /// the exchange is aborted. It may be given from within this callback.
  std::function<void(const ExchangeId&, RequestContent&&)> mOnRequest;
  /// The connection was closed before a response was given. Called once per
  /// exchange.
  std::function<void(const ExchangeId&)> mOnAborted;
  /// Optional. A connection was closed because of
  /// HttpServerOptions::mMaxHeldBytes. Called after mOnAborted for its
  /// exchanges.
  std::function<void(const SlowClient&)> mOnSlowClientClosed = nullptr;
};

/// Options for sending a response.
struct ResponseOptions
{
  /// Whether the connection is closed after all requests read on it have been
  /// responded to.
  bool mCloseAfter = false;
  /// Sent in addition to the header fields of the response.
  std::vector<Header> mExtraHeaders;
};

class HttpSession;

/// Accepts connections, parses requests and sends responses.
///
/// Not thread-safe; use it only from the thread that runs the event loop.
/// Methods that take an ExchangeId or ConnectionId do nothing if it has ended.
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext,
             HttpServerOptions aOptions,
             HttpServerHooks aHooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens the listening socket and starts accepting. Errors: InvalidArgument
  /// with the address.
  Result<void> Listen(const Endpoint& aEndpoint);
  /// Returns the bound port, which the system chooses if the endpoint's port is
  /// zero.
  std::uint16_t Port() const;
  /// Closes the listening socket. Existing connections stay open.
  void StopAccepting();

  /// Sends a response when all earlier requests of the connection have theirs.
  /// Ignored if the exchange has ended or already has a response.
  void Answer(const ExchangeId& aExchange,
              AnswerContentPtr aResponse,
              const ResponseOptions& aOptions);
  /// Starts a response of unknown length, sent with chunked transfer coding.
  /// Ignored unless the exchange is the oldest one on its connection without a
  /// response.
  void StartStream(const ExchangeId& aExchange, const AnswerContent& aHead);
  /// Sends part of a streamed response. If the peer reads so slowly that more
  /// than 64 MiB of output are unsent, the connection is closed.
  void WriteChunk(const ExchangeId& aExchange, std::string_view aBytes);
  /// Completes a streamed response.
  void EndStream(const ExchangeId& aExchange);

  /// Closes each connection after its pending responses are sent; idle
  /// connections are closed immediately.
  void CloseAllAfterResponses();
  /// Closes the connection without sending pending responses.
  void Abort(ConnectionId aConnection);
  /// Calls Abort for every connection.
  void AbortAll();
  /// Returns the IP address of the connection's peer; empty if the connection
  /// has ended.
  std::string RemoteAddress(ConnectionId aConnection) const;
  std::size_t ConnectionCount() const { return mSessions.size(); }
  /// Memory reserved for request bodies, in bytes.
  std::size_t BodyMemory() const { return mBodyBytes; }
  /// Number of requests rejected since there was no memory for their bodies.
  std::uint64_t MemoryRejections() const { return mMemoryRejections; }
  /// Memory held for responses that clients have not received, in bytes.
  std::size_t HeldBytes() const { return mHeld.Bytes(); }
  /// Number of times that a connection stopped reading since it held too much.
  std::uint64_t ReadPauses() const { return mHeld.Pauses(); }
  /// Number of connections closed since their clients did not take responses.
  std::uint64_t SlowClientsClosed() const { return mSlowClientsClosed; }
  /// Sets the body size limit. Applies to requests that start after this call.
  void SetBodyLimit(std::size_t aBytes) { mOptions.mMaxBodyBytes = aBytes; }
  /// Sets the header size limit, which applies to requests that start after
  /// this call, and the time limits, which apply immediately.
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
  void RetryAcceptLater();
  /// Updates mNow and closes the connections whose time limits have passed;
  /// runs periodically.
  void Sweep();
  std::vector<SessionPtr> AllSessions() const;
  /// Called by a session when its socket is closed. Resumes accepting if it was
  /// paused at the connection limit.
  void OnSessionClosed(ConnectionId aConnection);
  SessionPtr Find(ConnectionId aConnection) const;
  /// Reserves memory for a request body. Small bodies do not wait for large
  /// ones; these are served in the order in which they began to wait.
  /// A body that is read in part already, and holds memory, goes first.
  bool TryReserveBody(ConnectionId aConnection,
                      std::size_t aBytes,
                      bool aHoldsSome);
  /// Reserves memory that is in use already.
  void ReserveBody(std::size_t aBytes) { mBodyBytes += aBytes; }
  void ReleaseBody(std::size_t aBytes);
  /// Lets the session wait until memory is released.
  void AwaitBodyMemory(ConnectionId aConnection, bool aHoldsSome);
  void StopAwaitingMemory(ConnectionId aConnection);
  /// Sets what a connection holds for its client.
  void SetHeld(ConnectionId aConnection, const HeldOutput& aHeld);
  /// Lets connections read that were paused and may read again.
  void ResumeReading();
  void CloseSlowClients();
  /// Whether a body of the size can ever be read.
  bool IsBodyPossible(std::size_t aBytes) const;

  boost::asio::io_context& mContext;
  HttpServerOptions mOptions;
  HttpServerHooks mHooks;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mSweepTimer;
  boost::asio::steady_timer mAcceptTimer;
  std::unordered_map<ConnectionId, SessionPtr> mSessions;
  std::uint64_t mNextConnection = 1;
  /// Time of the last sweep. Reading the clock once per sweep is cheaper than
  /// for each request and precise enough for limits in seconds.
  std::chrono::steady_clock::time_point mNow;
  /// Time that the server has run, counted in sweeps. While the process is
  /// paused it stands still, so that bytes which clients took meanwhile are
  /// noticed before the clients count as stalled.
  Duration mRunningTime{};
  OutputBudget mHeld;
  std::uint64_t mSlowClientsClosed = 0;
  bool mIsAcceptPaused = false;
  /// Memory reserved for request bodies.
  std::size_t mBodyBytes = 0;
  std::uint64_t mMemoryRejections = 0;
  /// Connections whose next body waits for memory, in order.
  std::deque<ConnectionId> mAwaitingMemory;
};

} // namespace cranberrywing::netutil
