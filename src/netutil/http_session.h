/// \file
/// A single connection of an HttpServer.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <optional>

#include "netutil/http_server.h"

namespace cranberrywing::netutil {

/// Reads the requests of one connection and sends the responses in order.
///
/// Not thread-safe. Kept alive by the server and by pending operations.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  /// Precondition: aServer outlives the session, or calls Detach before it is
  /// destroyed.
  HttpSession(HttpServer& aServer,
              boost::asio::ip::tcp::socket aSocket,
              ConnectionId aId);

  /// Starts reading requests.
  void Start();
  /// Closes the connection because the server is being destroyed. No callback
  /// is called afterwards.
  void Detach();
  /// The methods below implement those of HttpServer.
  void Answer(std::uint64_t aNumber,
              AnswerContentPtr aResponse,
              const ResponseOptions& aOptions);
  void StartStream(std::uint64_t aNumber, const AnswerContent& aHead);
  void WriteChunk(std::uint64_t aNumber, std::string_view aBytes);
  void EndStream(std::uint64_t aNumber);
  void CloseAfterResponses();
  void Abort();
  /// Closes the connection, or rejects its partial request, if a time limit has
  /// passed. Called by the server's sweep.
  void CheckTimeouts();
  /// Notes whether the client has taken bytes since the last call. Called by
  /// the server's sweep.
  void NoteProgress();
  /// Continues to read after a pause because of held output.
  void ResumeReading() { Advance(); }
  const std::string& RemoteAddress() const { return mRemoteAddress; }
  /// Reserves the memory that the next part of the body waits for, if there is
  /// enough. Precondition: the session waits for it.
  bool TryReserveAwaited();
  /// Continues to read the body after TryReserveAwaited.
  void ResumeBody();

private:
  using Clock = std::chrono::steady_clock;
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// An exchange whose response has not been appended to the output yet.
  struct PendingExchange
  {
    std::uint64_t mNumber = 0;
    bool mIsHead = false;
    bool mIsStreaming = false;
    AnswerContentPtr mResponse;
    std::vector<Header> mExtraHeaders;
    /// Memory reserved for the request's body until the response is given.
    std::size_t mBodyBytes = 0;
  };

  void Read();
  void OnRead(boost::system::error_code aError, std::size_t aBytes);
  /// Whether another read may be started: none is in progress, and neither the
  /// pipelining limit nor an output limit is reached.
  bool CanRead();
  /// Whether no further request is read because of the output that the server
  /// holds. A request that has begun is read to its end, since its body may
  /// occupy memory.
  bool IsPausedForOutput();
  /// Parses the input, then writes the responses that are ready and continues
  /// reading.
  void Advance();
  void ParseRequests();
  /// Returns false if more bytes are needed or no further request is to be
  /// read.
  bool ParseNextRequest();
  void OnHeaderRead();
  /// Memory that the body needs as far as it is known.
  std::size_t NeededBodyBytes() const;
  /// Reserves the memory that the body needs; returns false if reading has to
  /// wait for it, or if the request was rejected.
  bool ReserveBody();
  void ReleaseReserved();
  void DispatchRequest();
  void RejectParseError(boost::system::error_code aError);
  /// Rejects the request being read and closes the connection after the
  /// response.
  void RejectRequest(ResultCode aCode,
                     std::string aDetail,
                     unsigned aStatus,
                     Duration aRetryAfter = {});
  void RejectForMemory();
  /// Whether part of a request has been read.
  bool HasPartialRequest() const;

  PendingExchange* FindPending(std::uint64_t aNumber);
  void FlushResponses();
  void AppendResponse(const PendingExchange& aPending, bool aIsLast);
  void AppendContinue();
  /// Reports to the server what is held for the client.
  void UpdateHeld();
  /// Frees the part of the output being written that is sent, if it is large.
  void TrimWriting();
  void Write();
  void OnWritten(boost::system::error_code aError, std::size_t aBytes);
  /// Shuts down sending and starts draining if all responses are sent.
  void StartDraining();
  void Close();

  HttpServer* mServer;
  boost::asio::ip::tcp::socket mSocket;
  ConnectionId mId;
  std::string mRemoteAddress;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::deque<PendingExchange> mPending;
  std::uint64_t mNextNumber = 1;
  /// Serialized output to be sent after the write in progress.
  std::string mOutput;
  std::string mWriting;
  std::size_t mWritten = 0;
  /// Size of the bodies of responses in mPending.
  std::size_t mWaitingBytes = 0;
  /// Bytes that the system has accepted for sending, and how many of them the
  /// client was last known to have acknowledged.
  std::uint64_t mAcceptedBytes = 0;
  std::uint64_t mTakenBytes = 0;
  Clock::time_point mLastActivity;
  Clock::time_point mRequestStart;
  /// Memory reserved for the body that is being read.
  std::size_t mReservedBytes = 0;
  /// Whether reading waits for memory, and since when.
  bool mAwaitsMemory = false;
  Clock::time_point mAwaitsSince;
  bool mIsReading = false;
  bool mIsWriting = false;
  /// Responses are collected until all buffered requests are parsed, so that
  /// they are sent in a single write.
  bool mIsCorked = false;
  /// Close the connection after the response to the request being read, if any.
  bool mIsCloseRequested = false;
  /// No further request is read.
  bool mIsClosing = false;
  /// All responses are sent. Input is discarded until the peer closes, because
  /// closing a socket with unread input sends a reset, which can destroy the
  /// last response in transit.
  bool mIsDraining = false;
  bool mIsClosed = false;
  /// Whether "100 Continue" is still to be sent for the request being read.
  bool mIsContinuePending = false;
};

} // namespace cranberrywing::netutil
