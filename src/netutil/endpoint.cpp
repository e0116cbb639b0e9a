#include "netutil/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include "cranberrywing/parse_number.h"

namespace cranberrywing::netutil {

namespace {

tl::unexpected<Error> InvalidEndpoint(std::string_view aText)
{
  return MakeError(ResultCode::InvalidArgument,
                   "'" + std::string(aText) +
                     "' is not an IP address and port such as 127.0.0.1:7001");
}

} // namespace

Result<Endpoint> ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return InvalidEndpoint(aText);
  }
  std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    // Without brackets, the last group of an IPv6 address cannot be told from a
    // port.
    return InvalidEndpoint(aText);
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(host), ec);
  if (ec) {
    return InvalidEndpoint(aText);
  }
  const auto port = ParseNumber<std::uint16_t>(aText.substr(colon + 1));
  if (!port) {
    return InvalidEndpoint(aText);
  }
  return Endpoint{ address.to_string(), *port };
}

Result<std::vector<Endpoint>> ParseEndpoints(std::string_view aText)
{
  std::vector<Endpoint> endpoints;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    const auto endpoint = ParseEndpoint(aText.substr(0, comma));
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    endpoints.push_back(*endpoint);
    if (comma == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(comma + 1);
  }
  return endpoints;
}

std::string ToString(const Endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.mAddress.find(':') != std::string::npos;
  const std::string host =
    isV6 ? "[" + aEndpoint.mAddress + "]" : aEndpoint.mAddress;
  return host + ":" + std::to_string(aEndpoint.mPort);
}

} // namespace cranberrywing::netutil
