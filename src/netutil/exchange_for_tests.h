/// \file
/// Runs a single HTTP exchange in tests.
#pragma once

#include <catch2/catch.hpp>
#include <optional>

#include "netutil/http_pool.h"
#include "netutil/loopback_for_tests.h"

namespace cranberrywing::netutil {

/// Outcome of an exchange that may be in progress.
struct PendingResult
{
  std::optional<ExchangeResult> mResult;
};

/// Runs one exchange to its end. Not thread-safe.
inline ExchangeResult Exchange(boost::asio::io_context& aContext,
                               HttpClientPool& aPool,
                               const Endpoint& aEndpoint,
                               const std::string& aMethod = "GET",
                               ResponseIdentity aIdentity = {})
{
  RequestContent request;
  request.mMethod = aMethod;
  request.mTarget = "/";
  const auto outcome = std::make_shared<PendingResult>();
  aPool.Start(
    aEndpoint,
    std::make_shared<const RequestContent>(std::move(request)),
    {},
    std::chrono::seconds(20),
    [outcome](ExchangeResult aResult) {
      outcome->mResult = std::move(aResult);
    },
    std::move(aIdentity));
  REQUIRE(RunUntil(aContext, [&] { return outcome->mResult.has_value(); }));
  return *outcome->mResult;
}

} // namespace cranberrywing::netutil
