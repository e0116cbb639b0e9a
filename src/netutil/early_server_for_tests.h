/// \file
/// A server for tests that responds before it has read the request's body.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

/// Size of a request's body that the system's buffers do not take, so that
/// writing it waits for the server.
inline constexpr std::size_t kLongUploadBytes = 16UL * 1024 * 1024;

/// How an EarlyServer ends a connection.
enum class EarlyEnding : std::uint8_t
{
  /// Resets it.
  Reset,
  /// Ends its own direction, and resets the connection after another delay. So
  /// does the system for a process that ends when it has read all that arrived.
  HalfCloseThenReset,
  /// Reads the request to its end, then closes.
  ReadThenClose,
  /// Ends its own direction, then reads the request to its end and closes.
  HalfCloseThenRead,
};

struct EarlyServerOptions
{
  /// What it writes once it has read the head of a request with a body.
  /// Requests without one, such as health checks, get an empty success.
  std::string mResponse;
  EarlyEnding mEnding = EarlyEnding::Reset;
  /// Time between the response and the end of the connection.
  std::chrono::milliseconds mDelay{ 0 };
};

/// Carries one exchange on each connection. Not thread-safe.
class EarlyServer
{
public:
  EarlyServer(boost::asio::io_context& aContext, EarlyServerOptions aOptions)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mOptions(std::move(aOptions))
  {
    Accept();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  using Tcp = boost::asio::ip::tcp;

  struct Session
  {
    explicit Session(Tcp::socket aSocket)
      : mSocket(std::move(aSocket))
      , mTimer(mSocket.get_executor())
    {
    }

    Tcp::socket mSocket;
    boost::asio::steady_timer mTimer;
    std::string mInput;
    std::array<char, 64UL * 1024> mBuffer{};
    /// Bytes of the request that have not been read.
    std::size_t mUnread = 0;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, Tcp::socket aSocket) {
        if (!aError) {
          ReadHead(std::make_shared<Session>(std::move(aSocket)));
          Accept();
        }
      });
  }

  void ReadHead(const SessionPtr& aSession)
  {
    boost::asio::async_read_until(
      aSession->mSocket,
      boost::asio::dynamic_buffer(aSession->mInput),
      "\r\n\r\n",
      [this, aSession](boost::system::error_code aError,
                       std::size_t aHeadBytes) {
        if (!aError) {
          Respond(aSession, aHeadBytes);
        }
      });
  }

  void Respond(const SessionPtr& aSession, std::size_t aHeadBytes)
  {
    const std::string name = "Content-Length: ";
    const std::size_t field = aSession->mInput.find(name);
    const std::size_t length =
      field < aHeadBytes
        ? std::stoul(aSession->mInput.substr(field + name.size()))
        : 0;
    aSession->mUnread = aHeadBytes + length - aSession->mInput.size();
    const std::string response =
      length > 0 ? mOptions.mResponse
                 : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::system::error_code ec;
    boost::asio::write(aSession->mSocket, boost::asio::buffer(response), ec);
    if (length > 0) {
      After(mOptions.mDelay, aSession, [this, aSession] { End(aSession); });
    }
  }

  static void After(std::chrono::milliseconds aDelay,
                    const SessionPtr& aSession,
                    std::function<void()> aAction)
  {
    aSession->mTimer.expires_after(aDelay);
    aSession->mTimer.async_wait([aSession, action = std::move(aAction)](
                                  boost::system::error_code aError) {
      if (!aError) {
        action();
      }
    });
  }

  void End(const SessionPtr& aSession)
  {
    boost::system::error_code ec;
    switch (mOptions.mEnding) {
      case EarlyEnding::Reset:
        Reset(aSession);
        return;
      case EarlyEnding::HalfCloseThenReset:
        aSession->mSocket.shutdown(Tcp::socket::shutdown_send, ec);
        After(mOptions.mDelay, aSession, [aSession] { Reset(aSession); });
        return;
      case EarlyEnding::HalfCloseThenRead:
        aSession->mSocket.shutdown(Tcp::socket::shutdown_send, ec);
        break;
      case EarlyEnding::ReadThenClose:
        break;
    }
    ReadRest(aSession);
  }

  static void Reset(const SessionPtr& aSession)
  {
    boost::system::error_code ec;
    aSession->mSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    aSession->mSocket.close(ec);
  }

  static void ReadRest(const SessionPtr& aSession)
  {
    if (aSession->mUnread == 0) {
      boost::system::error_code ec;
      aSession->mSocket.close(ec);
      return;
    }
    aSession->mSocket.async_read_some(
      boost::asio::buffer(aSession->mBuffer),
      [aSession](boost::system::error_code aError, std::size_t aBytes) {
        if (!aError) {
          aSession->mUnread -= std::min(aBytes, aSession->mUnread);
          ReadRest(aSession);
        }
      });
  }

  Tcp::acceptor mAcceptor;
  EarlyServerOptions mOptions;
};

} // namespace cranberrywing::netutil
