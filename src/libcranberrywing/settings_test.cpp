#include "cranberrywing/settings.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;

namespace {

constexpr std::string_view kDocument = R"(format: 1
fleet: {key_pepper: pepper-for-tests-only, ticket_secret: secret-for-tests-only}
regions: {accra: {failure_domains: [accra-a]}, kumasi: {failure_domains: [kumasi-a]}}
accounts:
  shops: {rate: 200, burst: 100}
  office: {rate: 20, burst: 10}
services:
  ordering:
    routes: {price: {method: GET, path: /prices, idempotent: true}}
root:
  timeout: 10s
  services: {ordering: {timeout: 9s}}
  regions:
    "*": {accounts: {shops: {timeout: 7s}}}
    accra:
      timeout: 8s
      max_attempts: 2
      accounts: {"*": {timeout: 6s}, office: {timeout: 5s}}
)";

Duration TimeoutFor(const SettingsSnapshot& aSettings,
                    std::string_view aRegion,
                    std::string_view aAccount)
{
  return aSettings
    .Resolve(aSettings.mRoutes.at(0), RegionId(aRegion), AccountId(aAccount))
    .mTimeout;
}

} // namespace

// Guards against an override that is lost or taken in the wrong order.
TEST_CASE("the deepest and then the exact policy node wins")
{
  const auto settings = ParseSettings(kDocument, Revision{ 1 });
  REQUIRE(settings.has_value());
  using std::chrono::seconds;
  CHECK(TimeoutFor(**settings, "kumasi", "office") == seconds(9));
  CHECK(TimeoutFor(**settings, "kumasi", "shops") == seconds(7));
  CHECK(TimeoutFor(**settings, "accra", "office") == seconds(5));
  CHECK(TimeoutFor(**settings, "accra", "shops") == seconds(6));
  const RouteSettings& route = (*settings)->Resolve(
    (*settings)->mRoutes.at(0), RegionId("accra"), AccountId("shops"));
  CHECK(route.mMaxAttempts == 2);
}
