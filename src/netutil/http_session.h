/// \file
/// One connection of an HttpServer.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <optional>

#include "netutil/http_server.h"

namespace cranberrywing::netutil {

/// Not thread-safe. Lives as long as the server or a pending operation
/// refers to it.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  /// Precondition: aServer outlives the session or calls Detach.
  HttpSession(HttpServer& aServer,
              boost::asio::ip::tcp::socket aSocket,
              ConnectionId aId);

  void Start();
  /// The server ends: no hook is called any more.
  void Detach();
  void Answer(std::uint64_t aNumber,
              AnswerContentPtr aAnswer,
              const ResponseOptions& aOptions);
  void StartStream(std::uint64_t aNumber, const AnswerContent& aHead);
  void WriteChunk(std::uint64_t aNumber, std::string_view aBytes);
  void EndStream(std::uint64_t aNumber);
  void CloseAfterAnswers();
  void Abort();
  /// Ends the connection if one of its time limits has passed.
  void CheckLimits();
  const std::string& RemoteAddress() const { return mRemoteAddress; }

private:
  using Clock = std::chrono::steady_clock;
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// A request whose answer has not been put into the output yet.
  struct Pending
  {
    std::uint64_t mNumber = 0;
    bool mIsHead = false;
    bool mIsStreaming = false;
    AnswerContentPtr mAnswer;
    std::vector<Header> mExtraHeaders;
  };

  void Read();
  void OnRead(boost::system::error_code aError, std::size_t aBytes);
  bool MayRead() const;
  /// Parses what was read, then writes the answers given meanwhile.
  void Advance();
  void ParseRequests();
  /// False if more bytes are needed or nothing more is to be read.
  bool ParseOne();
  void OnHeaderRead();
  void TakeRequest();
  void RefuseInput(boost::system::error_code aError);
  void RefuseWith(ResultCode aCode, std::string aDetail, unsigned aStatus);
  bool IsInRequest() const;

  Pending* FindPending(std::uint64_t aNumber);
  void FlushAnswers();
  void AppendAnswer(const Pending& aPending, bool aIsLast);
  void AppendContinue();
  void Write();
  void OnWritten(boost::system::error_code aError, std::size_t aBytes);
  void FinishSending();
  void End();

  HttpServer* mServer;
  boost::asio::ip::tcp::socket mSocket;
  ConnectionId mId;
  std::string mRemoteAddress;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::deque<Pending> mPending;
  std::uint64_t mNextNumber = 1;
  /// Answers that wait for the write in progress to end.
  std::string mOutput;
  std::string mWriting;
  std::size_t mWritten = 0;
  Clock::time_point mLastActivity;
  Clock::time_point mRequestStart;
  bool mIsReading = false;
  bool mIsWriting = false;
  /// Answers are collected until all requests at hand are parsed, so that
  /// they go out in one write.
  bool mIsCorked = false;
  /// Close once the request being read, if any, has its answer.
  bool mCloseWanted = false;
  /// No further request is read.
  bool mIsClosing = false;
  /// All answers are sent; input is discarded until the caller closes, since
  /// closing with unread input would reset the connection and could destroy
  /// the last answer on its way.
  bool mIsDraining = false;
  bool mIsEnded = false;
  bool mIsContinueDue = false;
};

} // namespace cranberrywing::netutil
