#include "netutil/http_line_stream.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/none.hpp>

#include "netutil/http_head.h"

namespace cranberrywing::netutil {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
/// An etcd watch response contains whole values of up to 1 MB each,
/// base64-encoded.
constexpr std::size_t kMaxLineBytes = 256 * 1024 * 1024;

} // namespace

HttpLineStream::HttpLineStream(asio::io_context& aContext,
                               Endpoint aEndpoint,
                               LineStreamHooks aHooks)
  : mEndpoint(std::move(aEndpoint))
  , mHooks(std::move(aHooks))
  , mSocket(aContext)
  , mTimer(aContext)
{
  mParser.eager(true);
  mParser.body_limit(boost::none);
}

void HttpLineStream::Start(const RequestContent& aRequest,
                           Duration aConnectTimeout)
{
  mIsOpen = true;
  mRequest = SerializeHead(aRequest, {}, mEndpoint) + aRequest.mBody;
  mTimer.expires_after(aConnectTimeout);
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      if (!aError && self->mIsOpen) {
        self->Fail("connecting timed out");
      }
    });
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(mEndpoint.mAddress, ec);
  mSocket.async_connect(
    asio::ip::tcp::endpoint(address, mEndpoint.mPort),
    [self = shared_from_this()](boost::system::error_code aError) {
      if (!self->mIsOpen) {
        return;
      }
      if (aError) {
        self->Fail(aError.message());
        return;
      }
      self->mTimer.cancel();
      self->Send();
    });
}

void HttpLineStream::Send()
{
  asio::async_write(
    mSocket,
    asio::buffer(mRequest),
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError && self->mIsOpen) {
        self->Fail(aError.message());
      }
    });
  Read();
}

void HttpLineStream::Read()
{
  mSocket.async_read_some(
    mBuffer.prepare(kReadBytes),
    [self = shared_from_this()](boost::system::error_code aError,
                                std::size_t aBytes) {
      if (self->mIsOpen) {
        self->OnRead(aError, aBytes);
      }
    });
}

void HttpLineStream::OnRead(boost::system::error_code aError,
                            std::size_t aBytes)
{
  if (aError) {
    Fail(aError.message());
    return;
  }
  mBuffer.commit(aBytes);
  if (Parse() && mIsOpen) {
    Read();
  }
}

bool HttpLineStream::Parse()
{
  while (mBuffer.size() > 0 && mIsOpen) {
    boost::system::error_code ec;
    mParser.ParseSome(mBuffer, kMaxLineBytes, ec);
    if (ec && ec != http::error::need_more) {
      Fail(ec.message());
      return false;
    }
    if (mParser.is_header_done() && mParser.get().result_int() != 200) {
      Fail("HTTP status " + std::to_string(mParser.get().result_int()));
      return false;
    }
    EmitLines();
    if (mIsOpen && mParser.is_done()) {
      Fail("response ended");
      return false;
    }
    if (ec == http::error::need_more) {
      break;
    }
  }
  return true;
}

void HttpLineStream::EmitLines()
{
  std::string& body = mParser.get().body();
  mPartialLine += body;
  body.clear();
  if (mPartialLine.size() > kMaxLineBytes) {
    Fail("response line exceeds the size limit");
    return;
  }
  std::size_t start = 0;
  std::size_t end = mPartialLine.find('\n');
  while (end != std::string::npos && mIsOpen) {
    mHooks.mOnLine(std::string_view(mPartialLine).substr(start, end - start));
    start = end + 1;
    end = mPartialLine.find('\n', start);
  }
  mPartialLine.erase(0, start);
}

void HttpLineStream::Fail(const std::string& aReason)
{
  Close();
  mHooks.mOnEnd(aReason);
}

void HttpLineStream::Close()
{
  mIsOpen = false;
  mTimer.cancel();
  boost::system::error_code ec;
  mSocket.close(ec);
}

} // namespace cranberrywing::netutil
