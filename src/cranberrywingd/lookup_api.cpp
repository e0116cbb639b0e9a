#include "cranberrywingd/lookup_api.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "netutil/endpoint.h"
#include "netutil/json.h"
#include "netutil/target.h"

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

tl::unexpected<Error> InvalidArgumentError(const std::string& aReason)
{
  return MakeError(ResultCode::InvalidArgument, aReason);
}

Result<std::uint32_t> ReadClient(std::string_view aText)
{
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address_v4(std::string(aText), ec);
  if (ec) {
    return InvalidArgumentError("client is not an IPv4 address");
  }
  return address.to_uint();
}

/// Appends a JSON string. Lookups are the most frequent requests and names
/// rarely need escapes, so the common case is a plain copy.
void AppendString(std::string& aOut, std::string_view aText)
{
  const bool isPlain =
    std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
      return aCharacter >= ' ' && aCharacter < 0x7f && aCharacter != '"' &&
             aCharacter != '\\';
    });
  if (!isPlain) {
    aOut += json::serialize(json::value(aText));
    return;
  }
  aOut += '"';
  aOut += aText;
  aOut += '"';
}

void AppendVm(std::string& aOut, const effect::LookupVm& aVm)
{
  aOut += "{\"vm\":";
  AppendString(aOut, aVm.mVm.mName);
  aOut += ",\"address\":";
  AppendString(aOut, aVm.mAddress);
  aOut += ",\"port\":";
  aOut += std::to_string(aVm.mPort);
  aOut += '}';
}

std::string MillisecondsOf(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aTime).count());
}

AnswerContentPtr JsonText(unsigned aStatus,
                          std::string aBody,
                          std::vector<Header> aHeaders)
{
  AnswerContent answer;
  answer.mStatus = aStatus;
  answer.mHeaders = std::move(aHeaders);
  answer.mHeaders.push_back({ "Content-Type", "application/json" });
  answer.mBody = std::move(aBody);
  return std::make_shared<const AnswerContent>(std::move(answer));
}

} // namespace

bool HasPath(std::string_view aTarget, std::string_view aPath)
{
  return aTarget.starts_with(aPath) &&
         (aTarget.size() == aPath.size() || aTarget[aPath.size()] == '?');
}

Result<LookupQuery> ReadLookup(std::string_view aTarget,
                               std::string_view aRemoteAddress)
{
  auto target = netutil::ParseTarget(aTarget);
  if (!target) {
    return tl::unexpected(target.error());
  }
  const auto value = [&target](std::string_view aName) {
    const std::string* found = target->Find(aName);
    return found ? std::string_view(*found) : std::string_view();
  };
  LookupQuery query;
  query.mLookup.mAccount = AccountId(value("account"));
  query.mLookup.mRoute = RouteId(value("route"));
  query.mLookup.mIdempotencyKey = value("key");
  const std::string_view client = value("client");
  const auto address = ReadClient(client.empty() ? aRemoteAddress : client);
  if (!address) {
    return tl::unexpected(address.error());
  }
  query.mLookup.mClientAddress = *address;
  const std::string_view ticket = value("ticket");
  if (!ticket.empty() && ticket != "0" && ticket != "1") {
    return InvalidArgumentError("ticket must be 0 or 1");
  }
  query.mWantsTicket = ticket == "1";
  if (query.mWantsTicket && query.mLookup.mRoute.IsEmpty()) {
    return InvalidArgumentError("ticket=1 requires the query parameter route");
  }
  return query;
}

Result<RouteId> ReadTicketRoute(const RequestContent& aRequest)
{
  const auto target = netutil::ParseTarget(aRequest.mTarget);
  if (!target) {
    return tl::unexpected(target.error());
  }
  std::string route;
  if (const std::string* name = target->Find("route")) {
    route = *name;
  } else if (!aRequest.mBody.empty()) {
    const auto body = netutil::ParseObject(aRequest.mBody);
    if (!body) {
      return InvalidArgumentError("body is " + body.error().mMessage);
    }
    route = netutil::FindString(*body, "route");
  }
  if (route.empty()) {
    return InvalidArgumentError(
      "route is missing: give it in the query or as {\"route\":\"...\"}");
  }
  return RouteId(route);
}

AnswerContentPtr EncodeLookup(const effect::AnswerLookup& aAnswer,
                              const effect::AnswerTicket* aTicket)
{
  std::string body;
  body.reserve(256);
  body += "{\"vms\":[";
  for (const effect::LookupVm& vm : aAnswer.mVms) {
    if (body.back() == '}') {
      body += ',';
    }
    AppendVm(body, vm);
  }
  body += "],\"lifetime_ms\":" + MillisecondsOf(aAnswer.mLifetime);
  if (aTicket && aTicket->mTicket.empty()) {
    body += ",\"ticket_vm\":";
    AppendVm(body, aTicket->mOwner);
  } else if (aTicket) {
    body += ",\"ticket\":";
    AppendString(body, aTicket->mTicket);
    body += ",\"ticket_lifetime_ms\":" + MillisecondsOf(aTicket->mLifetime);
  }
  body += '}';
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aAnswer.mLifetime);
  // A ticket is valid for one execution only, so it must not be cached.
  const std::string cache =
    aTicket ? "no-store" : "max-age=" + std::to_string(seconds.count());
  return JsonText(200, std::move(body), { { "Cache-Control", cache } });
}

AnswerContentPtr EncodeTicket(const effect::AnswerTicket& aAnswer,
                              const std::string& aTarget)
{
  if (aAnswer.mTicket.empty()) {
    std::string body = "{\"ticket_vm\":";
    AppendVm(body, aAnswer.mOwner);
    body += '}';
    const netutil::Endpoint owner{ aAnswer.mOwner.mAddress,
                                   aAnswer.mOwner.mPort };
    return JsonText(
      307,
      std::move(body),
      { { "Location", "http://" + netutil::ToString(owner) + aTarget } });
  }
  std::string body = "{\"ticket\":";
  AppendString(body, aAnswer.mTicket);
  body += ",\"ticket_lifetime_ms\":" + MillisecondsOf(aAnswer.mLifetime) + "}";
  return JsonText(201, std::move(body), { { "Cache-Control", "no-store" } });
}

} // namespace cranberrywing::daemon
