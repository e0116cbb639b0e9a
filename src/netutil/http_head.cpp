#include "netutil/http_head.h"

#include "netutil/headers.h"

namespace cranberrywing::netutil {

namespace {

void AppendHeader(std::string& aHead, const Header& aHeader)
{
  aHead += aHeader.mName;
  aHead += ": ";
  aHead += aHeader.mValue;
  aHead += "\r\n";
}

} // namespace

std::string SerializeHead(const RequestContent& aRequest,
                          const std::vector<Header>& aExtraHeaders,
                          const Endpoint& aEndpoint)
{
  std::string head;
  head.reserve(256);
  head += aRequest.mMethod;
  head += ' ';
  head += aRequest.mTarget;
  head += " HTTP/1.1\r\n";
  if (!FindHeader(aRequest.mHeaders, "Host")) {
    AppendHeader(head, { "Host", ToString(aEndpoint) });
  }
  for (const Header& header : aRequest.mHeaders) {
    AppendHeader(head, header);
  }
  for (const Header& header : aExtraHeaders) {
    AppendHeader(head, header);
  }
  AppendHeader(head,
               { "Content-Length", std::to_string(aRequest.mBody.size()) });
  head += "\r\n";
  return head;
}

} // namespace cranberrywing::netutil
