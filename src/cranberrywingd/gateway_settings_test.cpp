#include "cranberrywingd/gateway_settings.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::daemon;

namespace {

const std::string kSettings = R"(vm: vm-1
region: north
failure_domain: north-a
callers: 10.0.0.1:8080
readiness: 10.0.0.1:8081
lookups: 10.0.0.1:8082
peers: 10.0.0.1:7000
store: 10.0.0.9:2379
regions: {north-a: north}
)";

} // namespace

TEST_CASE("Gateway settings have defaults and accept unknown fields")
{
  const auto settings = ReadGatewaySettings(kSettings + "colour: red\n");
  REQUIRE(settings.has_value());
  CHECK(settings->mVm == VmId("vm-1"));
  CHECK(settings->mMaxShift == Approx(0.15));
  CHECK(settings->mMemoryLimit == 256UL * 1024 * 1024);
}

TEST_CASE("Limits of the process are whole numbers")
{
  const auto settings =
    ReadGatewaySettings(kSettings + "memory_limit_mb: 160\nfile_limit: 4100\n");
  REQUIRE(settings.has_value());
  CHECK(settings->mMemoryLimit == 160UL * 1024 * 1024);
  CHECK(settings->mFileLimit == 4100);
  for (const char* bad : { "-1", "1.5", "1e30", "many", "1e400" }) {
    CAPTURE(bad);
    CHECK_FALSE(
      ReadGatewaySettings(kSettings + "file_limit: " + bad).has_value());
  }
}

// Guards against a VM that is taken for the fastest of its region, or for one
// without a link, because its rate was mistyped.
TEST_CASE("The link rate is a finite number above 0 or unknown")
{
  for (const char* unknown : { "", "link_mbps: \"\"\n", "link_mbps:\n" }) {
    CAPTURE(unknown);
    const auto settings = ReadGatewaySettings(kSettings + unknown);
    REQUIRE(settings.has_value());
    CHECK(settings->mLinkMbps == 0);
  }
  for (const auto& [text, rate] : { std::pair("10", 10.0),
                                    std::pair("\"200\"", 200.0),
                                    std::pair("0.5", 0.5) }) {
    CAPTURE(text);
    const auto settings =
      ReadGatewaySettings(kSettings + "link_mbps: " + text + "\n");
    REQUIRE(settings.has_value());
    CHECK(settings->mLinkMbps == rate);
  }
  for (const char* bad :
       { "0", "-10", "nan", "inf", "-inf", "1e400", "10Mbit", "fast" }) {
    CAPTURE(bad);
    const auto settings =
      ReadGatewaySettings(kSettings + "link_mbps: " + bad + "\n");
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().mMessage ==
          std::string("link_mbps is not a finite number above 0: ") + bad);
  }
}

// A field that is empty in the platform's template keeps its default.
TEST_CASE("Empty optional settings keep their defaults")
{
  const auto settings =
    ReadGatewaySettings(kSettings + "memory_limit_mb: \"\"\nmax_shift: \"\"\n");
  REQUIRE(settings.has_value());
  CHECK(settings->mMaxShift == Approx(0.15));
  CHECK_FALSE(ReadGatewaySettings(kSettings + "max_shift: -1").has_value());
}

// Guards against a mistyped switch that silently leaves objects placed.
TEST_CASE("The switch for object placement is true or false")
{
  CHECK(ReadGatewaySettings(kSettings)->mPlacesObjects);
  CHECK(ReadGatewaySettings(kSettings + "object_placement: \"\"\n")
          ->mPlacesObjects);
  CHECK(ReadGatewaySettings(kSettings + "object_placement: true\n")
          ->mPlacesObjects);
  CHECK_FALSE(ReadGatewaySettings(kSettings + "object_placement: false\n")
                ->mPlacesObjects);
  for (const char* bad : { "no", "off", "0", "False", "nope" }) {
    CAPTURE(bad);
    const auto settings =
      ReadGatewaySettings(kSettings + "object_placement: " + bad);
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().mMessage ==
          std::string("object_placement is neither true nor false: ") + bad);
  }
}
