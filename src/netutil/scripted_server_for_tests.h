/// \file
/// A server for tests that answers with prepared bytes.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "netutil/endpoint.h"

namespace cranberrywing::netutil {

/// Writes the n-th text of a script when the n-th part of data arrives on a
/// connection, and closes the connection after the last text. Not thread-safe.
class ScriptedServer
{
public:
  ScriptedServer(boost::asio::io_context& aContext,
                 std::vector<std::string> aScript)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mScript(std::move(aScript))
  {
    Accept();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  using Tcp = boost::asio::ip::tcp;

  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, Tcp::socket aSocket) {
        if (!aError) {
          Serve(std::make_shared<Tcp::socket>(std::move(aSocket)), 0);
          Accept();
        }
      });
  }

  void Serve(const std::shared_ptr<Tcp::socket>& aSocket, std::size_t aStep)
  {
    if (aStep == mScript.size()) {
      return;
    }
    const auto buf = std::make_shared<std::array<char, 4096>>();
    aSocket->async_read_some(
      boost::asio::buffer(*buf),
      [this, aSocket, aStep, buf](boost::system::error_code aError,
                                  std::size_t) {
        if (!aError) {
          boost::asio::write(*aSocket, boost::asio::buffer(mScript[aStep]));
          Serve(aSocket, aStep + 1);
        }
      });
  }

  Tcp::acceptor mAcceptor;
  std::vector<std::string> mScript;
};

} // namespace cranberrywing::netutil
