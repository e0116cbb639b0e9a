#include "netutil/headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace cranberrywing::netutil {

namespace {

/// Fields that are always removed when a message is forwarded.
constexpr std::array<std::string_view, 11> kHopByHop{
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Proxy-Authorization",
  "Expect",
  "Content-Length",
};

std::string_view Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = aText.find_last_not_of(" \t");
  return aText.substr(first, last - first + 1);
}

/// Field names listed in all Connection fields.
std::vector<std::string> ConnectionTokens(const std::vector<Header>& aHeaders)
{
  std::vector<std::string> tokens;
  for (const Header& header : aHeaders) {
    if (!EqualsIgnoreCase(header.mName, "Connection")) {
      continue;
    }
    std::string_view rest = header.mValue;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      tokens.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(comma == std::string_view::npos ? rest.size()
                                                         : comma + 1);
    }
  }
  return tokens;
}

bool IsHopByHop(std::string_view aName)
{
  return std::any_of(
    kHopByHop.begin(), kHopByHop.end(), [aName](std::string_view aOther) {
      return EqualsIgnoreCase(aName, aOther);
    });
}

} // namespace

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() },
                               { aRight.data(), aRight.size() });
}

const std::string* FindHeader(const std::vector<Header>& aHeaders,
                              std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (EqualsIgnoreCase(header.mName, aName)) {
      return &header.mValue;
    }
  }
  return nullptr;
}

std::size_t CountHeaders(const std::vector<Header>& aHeaders,
                         std::string_view aName)
{
  return static_cast<std::size_t>(std::count_if(
    aHeaders.begin(), aHeaders.end(), [aName](const Header& aHeader) {
      return EqualsIgnoreCase(aHeader.mName, aName);
    }));
}

void EraseHeader(std::vector<Header>& aHeaders, std::string_view aName)
{
  std::erase_if(aHeaders, [aName](const Header& aHeader) {
    return EqualsIgnoreCase(aHeader.mName, aName);
  });
}

void EraseHopByHopHeaders(std::vector<Header>& aHeaders)
{
  const std::vector<std::string> tokens = ConnectionTokens(aHeaders);
  std::erase_if(aHeaders, [&tokens](const Header& aHeader) {
    const auto isNamed = [&aHeader](const std::string& aToken) {
      return EqualsIgnoreCase(aHeader.mName, aToken);
    };
    return IsHopByHop(aHeader.mName) ||
           std::any_of(tokens.begin(), tokens.end(), isNamed);
  });
}

} // namespace cranberrywing::netutil
