/// \file
/// Streaming of a chunked HTTP response line by line, as used for etcd watches.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "netutil/http_client.h"
#include "netutil/response_parser.h"

namespace cranberrywing::netutil {

/// Callbacks of a stream, called from the event loop.
struct LineStreamHooks
{
  /// Called for each line, without its line feed. The view is valid only during
  /// the call.
  std::function<void(std::string_view)> mOnLine;
  /// Called once with the reason when the response ends or fails. No callback
  /// follows.
  std::function<void(const std::string&)> mOnEnd;
};

/// Sends one request and passes the lines of its response to a callback.
///
/// Not thread-safe; use it only from the thread that runs the event loop. Must
/// be owned by a std::shared_ptr; pending operations keep it alive.
class HttpLineStream : public std::enable_shared_from_this<HttpLineStream>
{
public:
  HttpLineStream(boost::asio::io_context& aContext,
                 Endpoint aEndpoint,
                 LineStreamHooks aHooks);

  /// Connects and sends the request. aConnectTimeout limits connecting only;
  /// the response has no time limit. A status other than 200 ends the stream.
  /// Precondition: called once.
  void Start(const RequestContent& aRequest, Duration aConnectTimeout);
  /// Closes the connection. No callback is called afterwards.
  void Close();

private:
  void Send();
  void Read();
  void OnRead(boost::system::error_code aError, std::size_t aBytes);
  bool Parse();
  void EmitLines();
  void Fail(const std::string& aReason);

  Endpoint mEndpoint;
  LineStreamHooks mHooks;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  ResponseParser mParser;
  std::string mRequest;
  /// Incomplete last line, until its line feed arrives.
  std::string mPartialLine;
  bool mIsOpen = false;
};

} // namespace cranberrywing::netutil
