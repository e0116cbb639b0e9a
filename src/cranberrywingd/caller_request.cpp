#include "cranberrywingd/caller_request.h"

#include <boost/beast/core/string.hpp>

#include "cranberrywing/parse_number.h"
#include "netutil/headers.h"

namespace cranberrywing::daemon {

using netutil::CountHeaders;
using netutil::EraseHeader;
using netutil::FindHeader;

namespace {

constexpr std::string_view kAuthorization = "Authorization";
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
constexpr std::string_view kTicket = "Cranberrywing-Ticket";
constexpr std::string_view kDeadline = "X-Request-Deadline-Ms";
/// Fields with this prefix are cranberrywing's own; neither callers nor
/// backend servers may pass them through.
constexpr std::string_view kOwnPrefix = "Cranberrywing-";
constexpr std::string_view kBearer = "Bearer ";
/// Kept in memory for every claim in flight and sent to peers.
constexpr std::size_t kLongestIdentity = 512;
constexpr std::int64_t kLongestTimeoutMs = 24LL * 60 * 60 * 1000;

tl::unexpected<Error> Bad(std::string_view aName, std::string_view aReason)
{
  return MakeError(ResultCode::InvalidArgument,
                   std::string(aName) + " " + std::string(aReason));
}

/// Value of a field that may come once; empty if it is absent.
Result<std::string> ReadOnce(const std::vector<Header>& aHeaders,
                             std::string_view aName)
{
  const std::string* value = FindHeader(aHeaders, aName);
  if (!value) {
    return std::string();
  }
  if (CountHeaders(aHeaders, aName) > 1) {
    return Bad(aName, "is given more than once");
  }
  return *value;
}

/// As ReadOnce, for a field whose empty value would change its meaning.
Result<std::string> ReadIdentity(const std::vector<Header>& aHeaders,
                                 std::string_view aName)
{
  Result<std::string> value = ReadOnce(aHeaders, aName);
  if (!value || !FindHeader(aHeaders, aName)) {
    return value;
  }
  if (value->empty() || value->size() > kLongestIdentity) {
    return Bad(aName, "must have 1 to 512 characters");
  }
  return value;
}

Result<Duration> ReadTimeout(const std::vector<Header>& aHeaders)
{
  const Result<std::string> text = ReadOnce(aHeaders, kDeadline);
  if (!text) {
    return tl::unexpected(text.error());
  }
  if (!FindHeader(aHeaders, kDeadline)) {
    return Duration::zero();
  }
  const auto number = ParseNumber<std::int64_t>(*text);
  if (!number || *number < 1 || *number > kLongestTimeoutMs) {
    return Bad(kDeadline, "must be a number of milliseconds from 1");
  }
  return Duration(Milliseconds(*number));
}

/// The key of a bearer credential. Other schemes count as no key.
std::string KeyOf(const std::string& aCredentials)
{
  if (aCredentials.size() < kBearer.size() ||
      !netutil::EqualsIgnoreCase(aCredentials.substr(0, kBearer.size()),
                                 kBearer)) {
    return {};
  }
  const std::size_t start = aCredentials.find_first_not_of(' ', kBearer.size());
  return start == std::string::npos ? std::string()
                                    : aCredentials.substr(start);
}

void EraseOwn(std::vector<Header>& aHeaders)
{
  std::erase_if(aHeaders, [](const Header& aHeader) {
    return netutil::EqualsIgnoreCase(aHeader.mName.substr(0, kOwnPrefix.size()),
                                     kOwnPrefix);
  });
}

} // namespace

Result<CallerRequest> ReadCallerRequest(RequestContent aRequest)
{
  std::vector<Header>& headers = aRequest.mHeaders;
  const auto credentials = ReadOnce(headers, kAuthorization);
  const auto idempotencyKey = ReadIdentity(headers, kIdempotencyKey);
  const auto ticket = ReadIdentity(headers, kTicket);
  const auto timeout = ReadTimeout(headers);
  for (const auto* read : { &credentials, &idempotencyKey, &ticket }) {
    if (!*read) {
      return tl::unexpected(read->error());
    }
  }
  if (!timeout) {
    return tl::unexpected(timeout.error());
  }
  CallerRequest request;
  request.mKey = KeyOf(*credentials);
  request.mIdempotencyKey = *idempotencyKey;
  request.mTicket = *ticket;
  request.mTimeout = *timeout;
  netutil::EraseHopByHopHeaders(headers);
  EraseHeader(headers, kAuthorization);
  EraseHeader(headers, kDeadline);
  EraseOwn(headers);
  request.mContent = std::move(aRequest);
  return request;
}

void CleanAnswer(AnswerContent& aAnswer, bool aIsHead)
{
  std::string length;
  if (const std::string* value =
        aIsHead ? FindHeader(aAnswer.mHeaders, "Content-Length") : nullptr) {
    length = *value;
  }
  netutil::EraseHopByHopHeaders(aAnswer.mHeaders);
  EraseOwn(aAnswer.mHeaders);
  if (!length.empty()) {
    aAnswer.mHeaders.push_back({ "Content-Length", length });
  }
}

} // namespace cranberrywing::daemon
