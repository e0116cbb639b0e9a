#include <algorithm>
#include <catch2/catch.hpp>

#include "cranberrywing/explain.h"

using namespace cranberrywing;

namespace {

const std::string kDocument = R"(format: 1
fleet: {isolation_limit: 0, key_pepper: pepper-for-tests-0001, ticket_secret: ticket-for-tests-0001}
regions: {accra: {failure_domains: [accra-a]}}
accounts:
  shops:
    rate: 10
    burst: 5
    keys: [{name: k1, digest: 0000000000000000000000000000000000000000000000000000000000000001}]
services:
  ordering:
    backends: {ord-1: {region: accra, failure_domain: accra-a, address: 127.0.0.1, port: 9001}}
    routes:
      prices: {method: GET, path: /prices, idempotent: true}
      orders: {method: POST, path: /orders, idempotent: false}
root:
  timeout: 5s
  regions: {accra: {services: {ordering: {timeout: 2s}}}}
)";

class Vm
{
public:
  Vm()
    : mReducer(MakeOptions())
  {
    mReducer.Start(TimePoint{}, 1'700'000'000);
  }

  Explanation Ask(const RequestDescription& aRequest) const
  {
    return ExplainRequest(mReducer, aRequest, TimePoint{});
  }

  const Reducer& Core() const { return mReducer; }

private:
  static Reducer::Options MakeOptions()
  {
    Reducer::Options options;
    options.mSelf.mMember = { VmId("vm-1"), Incarnation{ 1 } };
    options.mSelf.mRegion = RegionId("accra");
    options.mSelf.mFailureDomain = FailureDomainId("accra-a");
    options.mSelf.mSite = SiteId("accra");
    options.mSelf.mAddress = "127.0.0.1";
    options.mInitialDocument = kDocument;
    return options;
  }

  Reducer mReducer;
};

const PolicySource* FindSetting(const Explanation& aExplanation,
                                const std::string& aField)
{
  for (const ExplainStep& step : aExplanation.mSteps) {
    for (const PolicySource& source : step.mSettings) {
      if (source.mField == aField) {
        return &source;
      }
    }
  }
  return nullptr;
}

} // namespace

// Guards against an explanation that attributes a value to the wrong node.
TEST_CASE("an explanation names the node that set each value")
{
  const Vm vm;
  const Explanation explanation =
    vm.Ask({ .mTarget = "/prices/1", .mAccount = AccountId("shops") });
  const auto is = [&explanation](const std::string& aField,
                                 const std::string& aValue,
                                 const std::string& aNode) {
    const PolicySource* const source = FindSetting(explanation, aField);
    REQUIRE(source);
    CHECK(source->mValue == aValue);
    CHECK(source->mNode == aNode);
  };
  is("timeout", "2s", "root/regions/accra/services/ordering");
  is("max_attempts", "3", "default");
  is("rate", "10", "accounts/shops");
  is("weight", "1", "default");
  is("path", "/prices", "services/ordering/routes/prices");
}

// Guards against an explanation that differs from the pipeline's decision.
TEST_CASE("an explanation ends at the rule that refuses")
{
  const Vm vm;
  const auto refuses = [&vm](const RequestDescription& aRequest,
                             const std::string& aRule,
                             ResultCode aCode) {
    const Explanation explanation = vm.Ask(aRequest);
    CHECK(explanation.mCode == aCode);
    CHECK(explanation.mSteps.back().mRule == aRule);
  };
  const AccountId shops("shops");
  refuses({ .mTarget = "/nothing" }, "route", ResultCode::UnknownRoute);
  refuses({ .mTarget = "/prices" }, "key", ResultCode::KeyMissing);
  refuses({ .mTarget = "/prices", .mAccount = AccountId("x") },
          "key",
          ResultCode::KeyUnknown);
  refuses({ .mTarget = "/prices", .mAccount = shops, .mBodyBytes = 1 << 30 },
          "body size",
          ResultCode::RequestTooLarge);
  refuses({ .mMethod = "POST", .mTarget = "/orders", .mAccount = shops },
          "execution",
          ResultCode::IdempotencyKeyRequired);
}

// Guards against an explanation that differs from the actual lookup answer.
TEST_CASE("an explained lookup names the VMs of the answer")
{
  const Vm vm;
  const Explanation explanation = ExplainLookup(
    vm.Core(),
    { .mClientAddress = 0x7f000001, .mAccount = AccountId("shops") },
    TimePoint{});
  CHECK(explanation.mSteps.back().mResult == "vm-1");
  const PolicySource* const subset = FindSetting(explanation, "subset_size");
  REQUIRE(subset);
  CHECK(subset->mNode == "default");
}
