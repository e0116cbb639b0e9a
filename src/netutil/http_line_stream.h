/// \file
/// A request whose chunked answer is read line by line as it comes, as for
/// etcd's watches.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "netutil/http_client.h"

namespace cranberrywing::netutil {

struct LineStreamHooks
{
  /// One line without its end.
  std::function<void(std::string_view)> mOnLine;
  /// The answer ended or failed; called once, then nothing follows.
  std::function<void(const std::string&)> mOnEnd;
};

/// Not thread-safe; belongs to the event loop's thread.
class HttpLineStream : public std::enable_shared_from_this<HttpLineStream>
{
public:
  HttpLineStream(boost::asio::io_context& aContext,
                 Endpoint aEndpoint,
                 LineStreamHooks aHooks);

  void Start(const RequestContent& aRequest, Duration aConnectTimeout);
  /// No hook is called any more.
  void Close();

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Send();
  void Read();
  void OnRead(boost::system::error_code aError, std::size_t aBytes);
  bool Parse();
  void TakeLines();
  void Fail(const std::string& aReason);

  Endpoint mEndpoint;
  LineStreamHooks mHooks;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  Parser mParser;
  std::string mRequest;
  /// Start of a line whose end has not been read yet.
  std::string mPartial;
  bool mIsOpen = false;
};

} // namespace cranberrywing::netutil
