#include "cranberrywing/settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>

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

// Guards against an override that is ignored or applied in the wrong order.
TEST_CASE("deeper policy nodes win, then exact names")
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

namespace {

/// Returns kDocument with one piece of text replaced.
std::string With(std::string_view aLine, std::string_view aNew)
{
  std::string text(kDocument);
  const std::size_t at = text.find(aLine);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aLine.size(), aNew);
}

struct BadDocument
{
  std::string_view mLine;
  std::string_view mNew;
  std::string_view mPath;
  std::string_view mWhat;
};

std::string ReadFile(const std::string& aName)
{
  std::ifstream file(aName);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

// Guards against silently accepting invalid documents, and against error
// messages without a path and line.
TEST_CASE("an invalid document is refused with path and line")
{
  const std::vector<BadDocument> documents{
    { "timeout: 10s", "timout: 10s", "root/timout (line 11)", "unknown field" },
    { "timeout: 10s", "timeout: 10", "root/timeout (line 11)", "unit" },
    { "timeout: 10s", "timeout: 10parsec", "root/timeout (line 11)", "unit" },
    { "timeout: 10s", "timeout: 11m", "root/timeout (line 11)", "to 10m" },
    { "timeout: 10s", "timeout: {a: b}", "root/timeout (line 11)", "duration" },
    { "max_attempts: 2",
      "max_attempts: 0",
      "/max_attempts (line 17)",
      "from 1" },
    { "rate: 200", "rate: -1", "accounts/shops/rate (line 5)", "from 0" },
    { "rate: 200", "rate: nan", "accounts/shops/rate (line 5)", "must be" },
    { "rate: 200", "rate: many", "accounts/shops/rate (line 5)", "a number" },
    { "office: {r", "shops: {r", "accounts/shops (line 6)", "twice" },
    { "office: {timeout", "ofice: {timeout", "/ofice (line 18)", "no account" },
    { "    accra:", "    acra:", "root/regions/acra (line 15)", "no region" },
    { "path: /prices", "path: prices", "/price (line 9)", "the path" },
    { "rate: 20,",
      "keys: [{name: k}], rate: 20,",
      "keys/0 (line 6)",
      "digest" },
    { "rate: 20,",
      "keys: [{name: k, digest: XY}], rate: 20,",
      "digest",
      "hex" },
    { "[kumasi-a]", "[accra-a]", "failure_domains/0", "twice" },
    { "format: 1", "format: 2", "format (line 1)", "from 1 to 1" },
    { "10s", "&t 10s\n  retry_budget: *t", "document (line 12)", "aliases" },
    { "root:", "---\nroot:", "document", "more than one document" },
    { "root:", "root: [", "document", "" },
  };
  for (const BadDocument& bad : documents) {
    CAPTURE(bad.mNew);
    const auto settings = ParseSettings(With(bad.mLine, bad.mNew), {});
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().mCode == ResultCode::InvalidSettings);
    const std::string& text = settings.error().mMessage;
    CAPTURE(text);
    CHECK(text.find(bad.mPath) != std::string::npos);
    CHECK(text.find(bad.mWhat) != std::string::npos);
  }
  CHECK_FALSE(ParseSettings("", {}).has_value());
  CHECK_FALSE(ParseSettings(std::string(100000, '['), {}).has_value());
}

// Guards against durations that are read with the wrong unit.
TEST_CASE("durations need a unit")
{
  CHECK(ParseDuration("250ms") == Duration(Milliseconds(250)));
  CHECK(ParseDuration("24h") == Duration(std::chrono::hours(24)));
  CHECK(ParseDuration("0") == Duration::zero());
  CHECK(FormatDuration(std::chrono::seconds(90)) == "90s");
  for (const std::string bad : { "",
                                 "5",
                                 "s",
                                 "-5s",
                                 "5 s",
                                 "5s ",
                                 "1.5s",
                                 "99999999999999999999h",
                                 "99999999999h" }) {
    CHECK_FALSE(ParseDuration(bad).has_value());
  }
}

// Guards against an edit that loses comments or other settings.
TEST_CASE("an edit changes one setting and keeps the rest")
{
  const std::string before = R"(# head
format: 1
root:
  timeout: 10s   # longest
  regions:
    # accra's own
    accra:
      timeout: 8s
    "*": {max_attempts: 2}
accounts:
  shops:
    keys:
      - {name: k1, digest: ab}
      - {name: k2, digest: "c,d"}   # spare
)";
  struct Case
  {
    std::string mPath;
    std::string mValue;
    std::string mOld;
    std::string mNew;
  };
  const std::vector<Case> cases{
    { "root/timeout", "9s", "10s", "9s" },
    { "root/regions/accra/timeout", "1s", "8s", "1s" },
    { "root/regions/accra/max_attempts",
      "3",
      "8s\n",
      "8s\n      max_attempts: 3\n" },
    { "root/regions/*/max_attempts",
      "1",
      "max_attempts: 2",
      "max_attempts: 1" },
    { "root/regions/*/timeout",
      "1s",
      "attempts: 2",
      "attempts: 2, timeout: 1s" },
    { "root/regions/*/max_attempts", "", "{max_attempts: 2}", "{}" },
    { "root/regions/accra", "", "    accra:\n      timeout: 8s\n", "" },
    { "root/regions/accra/accounts/shops/timeout",
      "1s",
      "8s\n",
      "8s\n      accounts: {shops: {timeout: 1s}}\n" },
    { "accounts/shops/keys/k2/withdrawn",
      "true",
      "\"c,d\"",
      "\"c,d\", withdrawn: true" },
    { "accounts/shops/keys/k2",
      "",
      "      - {name: k2, digest: \"c,d\"}   # spare\n",
      "" },
    { "accounts/shops/keys/-",
      "{name: k3}",
      "# spare\n",
      "# spare\n      - {name: k3}\n" },
    { "accounts/shops/keys/k1/digest",
      "",
      "{name: k1, digest: ab}",
      "{name: k1}" },
    { "accounts/shops/rate", "5", "# spare\n", "# spare\n    rate: 5\n" },
  };
  for (const Case& one : cases) {
    CAPTURE(one.mPath, one.mValue);
    std::string wanted = before;
    wanted.replace(wanted.find(one.mOld), one.mOld.size(), one.mNew);
    CHECK(EditSetting(before, one.mPath, one.mValue) == wanted);
  }
  CHECK(ReadSetting(before, "accounts/shops/keys/k2/digest") == "c,d");
  CHECK(ReadSetting(before, "root/none").error().mCode ==
        ResultCode::UnknownNode);
  CHECK(EditSetting(before, "root/none", "").error().mCode ==
        ResultCode::UnknownNode);
  CHECK(EditSetting(before, "root/timeout/x", "1").error().mCode ==
        ResultCode::InvalidArgument);
}

// Guards against an operator changing settings outside the permitted subtrees.
TEST_CASE("an operator changes its own subtree only")
{
  const OperatorSettings one{ .mName = "kofi",
                              .mTokenDigest = {},
                              .mNodes = { "root/regions/accra" } };
  const auto may = [&one](std::string_view aPath, std::string_view aValue) {
    const auto after = EditSetting(kDocument, aPath, aValue);
    const auto changes = CompareSettings(kDocument, *after);
    REQUIRE(changes->size() > 0);
    return std::all_of(changes->begin(), changes->end(), [&](const auto& aOne) {
      return MayChange(one, aOne);
    });
  };
  CHECK(may("root/regions/accra/timeout", "3s"));
  CHECK(may("root/regions/accra", ""));
  CHECK_FALSE(may("root/regions/accra2", "{timeout: 3s}"));
  CHECK_FALSE(may("root/timeout", "3s"));
}

// Guards against an explanation that differs from the active policy.
TEST_CASE("an explanation names the deciding policy node")
{
  const auto sources = ExplainPolicy(kDocument,
                                     RegionId("accra"),
                                     ServiceId("ordering"),
                                     AccountId("shops"),
                                     RouteId("price"));
  REQUIRE(sources.has_value());
  CHECK(sources->at(0).mValue == "6s");
  CHECK(sources->at(0).mNode == "root/regions/accra/accounts/*");
  CHECK(sources->at(1).mNode == "root/regions/accra");
  CHECK(sources->at(2).mNode == "default");
}

// Guards against examples that are no longer valid or whose documented sizes
// have changed.
TEST_CASE("the examples are valid and have the documented sizes")
{
  for (const std::string name : { "ghana", "namibia" }) {
    CAPTURE(name);
    const auto settings = ParseSettings(
      ReadFile(CW_EXAMPLES "/" + name + "/settings.yaml"), Revision{ 1 });
    if (!settings) {
      FAIL(settings.error().mMessage);
    }
    const SettingsSnapshot& all = **settings;
    CHECK(all.mRegions.size() == 3);
    CHECK(all.mLinks.size() == 6);
    CHECK(all.mVms.size() == 11);
    CHECK(all.mAccounts.size() == 8);
    std::vector<std::size_t> backends;
    for (const auto& [id, service] : all.mServices) {
      backends.push_back(service.mBackends.size());
    }
    std::sort(backends.begin(), backends.end());
    CHECK(backends == std::vector<std::size_t>{ 10, 30 });
  }
}
