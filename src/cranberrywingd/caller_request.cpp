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
/// Prefix of header fields reserved for cranberrywing; they are not passed
/// through from callers or from backend servers.
constexpr std::string_view kReservedPrefix = "Cranberrywing-";
constexpr std::string_view kBearer = "Bearer ";
/// Limits the idempotency key and ticket, which are held in memory for every
/// claim in flight and sent to peers.
constexpr std::size_t kMaxIdentityLength = 512;
constexpr std::int64_t kMaxTimeoutMs = 24LL * 60 * 60 * 1000;

tl::unexpected<Error> InvalidArgumentError(std::string_view aName,
                                           std::string_view aReason)
{
  return MakeError(ResultCode::InvalidArgument,
                   std::string(aName) + " " + std::string(aReason));
}

/// Value of a field that may occur at most once; empty if it is absent.
Result<std::string> ReadSingleField(const std::vector<Header>& aHeaders,
                                    std::string_view aName)
{
  const std::string* value = FindHeader(aHeaders, aName);
  if (!value) {
    return std::string();
  }
  if (CountHeaders(aHeaders, aName) > 1) {
    return InvalidArgumentError(aName, "must not be repeated");
  }
  return *value;
}

/// Like ReadSingleField, but rejects overlong values, and empty ones, which
/// would be mistaken for an absent field.
Result<std::string> ReadIdentityField(const std::vector<Header>& aHeaders,
                                      std::string_view aName)
{
  Result<std::string> value = ReadSingleField(aHeaders, aName);
  if (!value || !FindHeader(aHeaders, aName)) {
    return value;
  }
  if (value->empty() || value->size() > kMaxIdentityLength) {
    return InvalidArgumentError(aName, "must have 1 to 512 characters");
  }
  return value;
}

Result<Duration> ReadTimeout(const std::vector<Header>& aHeaders)
{
  const Result<std::string> text = ReadSingleField(aHeaders, kDeadline);
  if (!text) {
    return tl::unexpected(text.error());
  }
  if (!FindHeader(aHeaders, kDeadline)) {
    return Duration::zero();
  }
  const auto number = ParseNumber<std::int64_t>(*text);
  if (!number || *number < 1 || *number > kMaxTimeoutMs) {
    return InvalidArgumentError(
      kDeadline, "must be a number of milliseconds from 1 to 86400000");
  }
  return Duration(Milliseconds(*number));
}

/// Key of a bearer credential; empty for other authentication schemes.
std::string BearerKey(const std::string& aCredentials)
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

void EraseReservedFields(std::vector<Header>& aHeaders)
{
  std::erase_if(aHeaders, [](const Header& aHeader) {
    return netutil::EqualsIgnoreCase(
      aHeader.mName.substr(0, kReservedPrefix.size()), kReservedPrefix);
  });
}

} // namespace

Result<CallerRequest> ReadCallerRequest(RequestContent aRequest)
{
  std::vector<Header>& headers = aRequest.mHeaders;
  const auto credentials = ReadSingleField(headers, kAuthorization);
  const auto idempotencyKey = ReadIdentityField(headers, kIdempotencyKey);
  const auto ticket = ReadIdentityField(headers, kTicket);
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
  request.mKey = BearerKey(*credentials);
  request.mIdempotencyKey = *idempotencyKey;
  request.mTicket = *ticket;
  request.mTimeout = *timeout;
  netutil::EraseHopByHopHeaders(headers);
  EraseHeader(headers, kAuthorization);
  EraseHeader(headers, kDeadline);
  EraseReservedFields(headers);
  request.mContent = std::move(aRequest);
  return request;
}

void SanitizeAnswer(AnswerContent& aAnswer, bool aIsHead)
{
  std::string length;
  if (const std::string* value =
        aIsHead ? FindHeader(aAnswer.mHeaders, "Content-Length") : nullptr) {
    length = *value;
  }
  netutil::EraseHopByHopHeaders(aAnswer.mHeaders);
  EraseReservedFields(aAnswer.mHeaders);
  if (!length.empty()) {
    aAnswer.mHeaders.push_back({ "Content-Length", length });
  }
}

} // namespace cranberrywing::daemon
