/// \file
/// A raw loopback connection that is driven together with the code under
/// test in one thread, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>

namespace cranberrywing::netutil {

/// Runs the loop until the condition holds. The limit only ends a test that
/// would otherwise hang; false if it was reached.
inline bool RunUntil(boost::asio::io_context& aContext,
                     const std::function<bool()>& aCondition)
{
  constexpr int kRounds = 20'000;
  for (int n = 0; n < kRounds && !aCondition(); ++n) {
    aContext.restart();
    aContext.run_one_for(std::chrono::milliseconds(1));
  }
  return aCondition();
}

/// The caller's end of a connection.
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

  void Send(const std::string& aBytes)
  {
    boost::asio::write(mSocket, boost::asio::buffer(aBytes));
  }

  bool ReceiveUntil(const std::string& aText)
  {
    return RunUntil(mContext, [this, &aText] {
      return mReceived.find(aText) != std::string::npos;
    });
  }

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
