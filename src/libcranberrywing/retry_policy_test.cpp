#include "cranberrywing/retry_policy.h"

#include <catch2/catch.hpp>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

RouteSettings MakeRoute(bool aIdempotent)
{
  RouteSettings route;
  route.mService = kService;
  route.mIdempotent = aIdempotent;
  return route;
}

FailedAttempt MakeAttempt(const RouteSettings& aRoute,
                          event::FailureStage aStage,
                          event::FailureKind aKind)
{
  return { .mRoute = &aRoute,
           .mAttempt = 1,
           .mStage = aStage,
           .mKind = aKind,
           .mDeadline = At(1e6) };
}

} // namespace

// Guards against a retry storm: in a full outage every request fails, and
// retries must not multiply the load.
TEST_CASE("retries in a full outage stay within the budget")
{
  RetryPolicy policy({});
  const RouteSettings route = MakeRoute(true);
  constexpr int kRate = 1000;
  constexpr int kSeconds = 20;
  int retries = 0;
  for (int n = 0; n < kRate * kSeconds; ++n) {
    const TimePoint now = At(static_cast<double>(n) / kRate);
    policy.OnRequest(route, now);
    FailedAttempt attempt = MakeAttempt(
      route, event::FailureStage::AfterFirstByte, event::FailureKind::Reset);
    while (policy.TryRetry(attempt, now)) {
      ++retries;
      ++attempt.mAttempt;
    }
  }
  CHECK(retries <= kSeconds * (kRate * 0.1 + 3) + 3);
  CHECK(retries >= kSeconds * kRate * 0.1 * 0.9);
}

// Guards against saving up retries during low traffic for a later burst.
TEST_CASE("unused retries are not kept for long")
{
  RetryPolicy policy({});
  const RouteSettings route = MakeRoute(true);
  for (int n = 0; n < 1000; ++n) {
    policy.OnRequest(route, At(n * 0.1));
  }
  const FailedAttempt attempt = MakeAttempt(
    route, event::FailureStage::AfterFirstByte, event::FailureKind::Reset);
  int retries = 0;
  while (policy.TryRetry(attempt, At(100))) {
    ++retries;
  }
  CHECK(retries >= 1);
  CHECK(retries <= 5);
}

// Guards against duplicate executions: after the first byte, the server may
// have run the request, whatever kind of failure follows.
TEST_CASE("a non-idempotent request is never retried after the first byte")
{
  RetryPolicy policy({});
  const RouteSettings route = MakeRoute(false);
  for (const event::FailureKind kind : { event::FailureKind::Connect,
                                         event::FailureKind::Timeout,
                                         event::FailureKind::Reset,
                                         event::FailureKind::MalformedAnswer,
                                         event::FailureKind::Shed }) {
    CHECK_FALSE(policy.TryRetry(
      MakeAttempt(route, event::FailureStage::AfterFirstByte, kind), At(0)));
  }
  CHECK(policy.TryRetry(MakeAttempt(route,
                                    event::FailureStage::BeforeFirstByte,
                                    event::FailureKind::Connect),
                        At(0)));
}

// Guards against attempts that cannot complete in time, and against unlimited
// retries.
TEST_CASE("attempts are limited by their number and the deadline")
{
  RetryPolicy policy({});
  const RouteSettings route = MakeRoute(true);
  FailedAttempt attempt = MakeAttempt(
    route, event::FailureStage::AfterFirstByte, event::FailureKind::Reset);
  attempt.mAttempt = route.mMaxAttempts;
  CHECK_FALSE(policy.TryRetry(attempt, At(0)));
  attempt.mAttempt = 1;
  attempt.mDeadline = At(0);
  CHECK_FALSE(policy.TryRetry(attempt, At(0)));
}
