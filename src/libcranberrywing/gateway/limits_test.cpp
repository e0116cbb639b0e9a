#include <catch2/catch.hpp>

#include "cranberrywing/gateway/admission.h"
#include "cranberrywing/gateway/cold_start.h"
#include "cranberrywing/gateway/retry_budget.h"
#include "cranberrywing/gateway/service_split.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };
const ServiceId kService("ordering");

std::vector<VmId> Vms(std::size_t aCount)
{
  std::vector<VmId> vms;
  for (std::size_t n = 0; n < aCount; ++n) {
    vms.emplace_back("vm-" + std::to_string(n));
  }
  return vms;
}

AdmissionRequest RequestWithWait(int aPriority, Duration aWait)
{
  return { .mPriority = aPriority,
           .mTimeLeft = Milliseconds(1000),
           .mTargetLatency = Milliseconds(400),
           .mWait = aWait,
           .mTotal = aWait + Milliseconds(160) };
}

} // namespace

// Guards against exceeding a cold server's bound because each VM of a restarted
// region uses the whole bound: the server got 18 requests in one second where
// 15.9 are allowed.
TEST_CASE("All VMs together stay within a cold server's bound")
{
  const ColdStartLimits limits{ .mOvershoot = 1.5, .mSlack = 5 };
  for (const std::size_t count : { 1, 2, 3, 4, 7, 11, 69, 300 }) {
    const std::vector<VmId> vms = Vms(count);
    std::size_t sum = 0;
    for (const VmId& vm : vms) {
      sum += ColdQuota(limits, 7.3, 12345, vms, vm);
    }
    CHECK(static_cast<double>(sum) <= 7.3 * 1.5 + 5);
    CHECK(sum >= 7);
  }
}

TEST_CASE("A cold server's quota applies per second")
{
  const ColdStartLimiter limiter(
    { .mOvershoot = 1, .mSlack = 0, .mUtilization = 1 });
  const std::vector<VmId> vms = Vms(1);
  Backend server;
  for (int n = 0; n < 3; ++n) {
    CHECK(limiter.MaySend(server, 3, vms, vms.front(), kNow));
    server.mColdSends.push_back(kNow);
  }
  CHECK_FALSE(limiter.MaySend(server, 3, vms, vms.front(), kNow));
  const TimePoint later = kNow + std::chrono::seconds(2);
  CHECK(limiter.MaySend(server, 3, vms, vms.front(), later));
}

// Guards against retries that amplify an overload: over all VMs they stay
// within ratio x requests + allowance in every window.
TEST_CASE("Retries over all VMs stay within the budget")
{
  const RetryBudget::Options options{ .mRatio = 0.2, .mAllowance = 62 };
  constexpr std::size_t kVms = 11;
  int requests = 0;
  int retries = 0;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    RetryBudget budget(options);
    for (int n = 0; n < 100; ++n) {
      budget.OnRequest(kService, kNow);
      ++requests;
      retries += budget.TryRetry(kService, kVms, kNow) ? 1 : 0;
      retries += budget.TryRetry(kService, kVms, kNow) ? 1 : 0;
    }
  }
  CHECK(retries <= 0.2 * requests + 62);
  CHECK(retries > 0);
}

TEST_CASE("The retry budget is available again in the next window")
{
  RetryBudget budget({ .mRatio = 0, .mAllowance = 10, .mUtilization = 1 });
  int retries = 0;
  while (budget.TryRetry(kService, 1, kNow)) {
    ++retries;
  }
  CHECK(retries == 10);
  CHECK(budget.TryRetry(kService, 1, kNow + std::chrono::seconds(11)));
}

// With more arrivals than a service can handle, the least urgent requests are
// refused first, so that queues stay short enough for the urgent ones.
TEST_CASE("Less urgent requests are refused at shorter queues")
{
  CHECK(DecideAdmission(RequestWithWait(2, Milliseconds(190))).mIsAdmitted);
  CHECK_FALSE(
    DecideAdmission(RequestWithWait(2, Milliseconds(210))).mIsAdmitted);
  CHECK(DecideAdmission(RequestWithWait(1, Milliseconds(310))).mIsAdmitted);
  CHECK_FALSE(
    DecideAdmission(RequestWithWait(1, Milliseconds(330))).mIsAdmitted);
  CHECK(DecideAdmission(RequestWithWait(0, Milliseconds(450))).mIsAdmitted);
}

// Guards against keeping a request that cannot be answered in time waiting
// until its deadline.
TEST_CASE("A request that cannot be answered in time is refused at once")
{
  AdmissionRequest request = RequestWithWait(0, Milliseconds(900));
  const AdmissionDecision decision = DecideAdmission(request);
  CHECK_FALSE(decision.mIsAdmitted);
  CHECK(decision.mRetryAfter > Duration::zero());
  request = RequestWithWait(0, Milliseconds(0));
  request.mTimeLeft = Milliseconds(100);
  CHECK_FALSE(DecideAdmission(request).mIsAdmitted);
}

// Guards against a traffic split that deviates from the weights on a VM with
// few requests.
TEST_CASE("Each service of a route gets requests by its weight")
{
  RoutePolicy route;
  route.mRoute = RouteId("pay");
  route.mServices = { { ServiceId("a"), 90 }, { ServiceId("b"), 10 } };
  ServiceSplit split;
  int requestsToB = 0;
  for (int n = 1; n <= 200; ++n) {
    requestsToB += split.Next(route) == ServiceId("b") ? 1 : 0;
    CHECK(std::abs(requestsToB - 0.1 * n) <= 1);
  }
}
