/// \file
/// Raw TCP connection over loopback for tests. It runs in the same thread and
/// event loop as the code under test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>

namespace cranberrywing::netutil {

/// Runs the event loop until the condition holds. The number of polls is
/// limited, so that a failing test ends instead of hanging. Returns false if
/// the limit was reached.
inline bool RunUntil(boost::asio::io_context& aContext,
                     const std::function<bool()>& aCondition)
{
  constexpr int kMaxPolls = 20'000;
  for (int n = 0; n < kMaxPolls && !aCondition(); ++n) {
    aContext.restart();
    aContext.run_one_for(std::chrono::milliseconds(1));
  }
  return aCondition();
}

/// The client's end of a connection. It collects all bytes that it receives.
class LoopbackClient
{
public:
  LoopbackClient(boost::asio::io_context& aContext, std::uint16_t aPort)
    : mContext(aContext)
    , mSocket(aContext)
  {
    mSocket.connect({ boost::asio::ip::address_v4::loopback(), aPort });
    Read();
  }

  /// Sends the bytes and blocks until they are written.
  void Send(const std::string& aBytes)
  {
    boost::asio::write(mSocket, boost::asio::buffer(aBytes));
  }

  /// Runs the event loop until the text was received. Returns false on timeout.
  bool ReceiveUntil(const std::string& aText)
  {
    return RunUntil(mContext, [this, &aText] {
      return mReceived.find(aText) != std::string::npos;
    });
  }

  /// Runs the event loop until the peer closes the connection. Returns false on
  /// timeout.
  bool ReceiveUntilClosed()
  {
    return RunUntil(mContext, [this] { return mIsEnded; });
  }

  void Close() { mSocket.close(); }
  const std::string& Received() const { return mReceived; }

private:
  void Read()
  {
    mSocket.async_read_some(
      boost::asio::buffer(mBuffer),
      [this](boost::system::error_code aError, std::size_t aBytes) {
        mReceived.append(mBuffer.data(), aBytes);
        mIsEnded = static_cast<bool>(aError);
        if (!aError) {
          Read();
        }
      });
  }

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::socket mSocket;
  std::array<char, 4096> mBuffer{};
  std::string mReceived;
  bool mIsEnded = false;
};

} // namespace cranberrywing::netutil
