#include "netutil/http_line_stream.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/none.hpp>

namespace cranberrywing::netutil {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
/// A watch response holds whole values of up to a megabyte each, in base64.
constexpr std::size_t kLineLimit = 256 * 1024 * 1024;

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
        self->Fail("cannot connect in time");
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
    mBuffer.consume(mParser.put(mBuffer.data(), ec));
    if (ec && ec != http::error::need_more) {
      Fail(ec.message());
      return false;
    }
    if (mParser.is_header_done() && mParser.get().result_int() != 200) {
      Fail("status " + std::to_string(mParser.get().result_int()));
      return false;
    }
    TakeLines();
    if (mIsOpen && mParser.is_done()) {
      Fail("answer ended");
      return false;
    }
    if (ec == http::error::need_more) {
      break;
    }
  }
  return true;
}

void HttpLineStream::TakeLines()
{
  std::string& body = mParser.get().body();
  mPartial += body;
  body.clear();
  if (mPartial.size() > kLineLimit) {
    Fail("line is too long");
    return;
  }
  std::size_t start = 0;
  std::size_t end = mPartial.find('\n');
  while (end != std::string::npos && mIsOpen) {
    mHooks.mOnLine(std::string_view(mPartial).substr(start, end - start));
    start = end + 1;
    end = mPartial.find('\n', start);
  }
  mPartial.erase(0, start);
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
