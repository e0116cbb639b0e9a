#include "cranberrywing/fair_queue.h"

#include <catch2/catch.hpp>
#include <map>

#include "libcranberrywing/balancing_test_settings.h"

using namespace cranberrywing;
using namespace cranberrywing::test;

namespace {

const AccountId kShops("shops");
const AccountId kPrinters("printers");

SettingsSnapshot QueueSettings(std::uint32_t aConnections)
{
  SettingsSnapshot settings = MakeSettings(1);
  settings.mServices[kService].mBackends[0].mConnections = aConnections;
  for (const AccountId& account : { kShops, kPrinters }) {
    settings.mAccounts[account].mAccount = account;
  }
  return settings;
}

FairQueue::Options NonAdaptiveOptions()
{
  return { .mConcurrency = { .mIsAdaptive = false } };
}

class Caller
{
public:
  explicit Caller(FairQueue& aQueue)
    : mQueue(aQueue)
  {
  }

  bool Push(const AccountId& aAccount, double aNow, double aDeadline)
  {
    return mQueue.Push(
      { RequestId{ ++mLast }, kService, aAccount, At(aDeadline) }, At(aNow));
  }

private:
  FairQueue& mQueue;
  std::uint64_t mLast = 0;
};

} // namespace

// Guards against serving an account beyond its weight's share while others
// wait.
TEST_CASE("waiting accounts are served in proportion to their weights")
{
  SettingsSnapshot settings = QueueSettings(1);
  settings.mAccounts[kShops].mWeight = 3;
  FairQueue queue(NonAdaptiveOptions());
  queue.Apply(settings);
  Caller caller(queue);
  for (int n = 0; n < 100; ++n) {
    REQUIRE(caller.Push(kShops, 0, 1000));
    REQUIRE(caller.Push(kPrinters, 0, 1000));
  }
  std::map<AccountId, int> served;
  for (int n = 0; n < 80; ++n) {
    const auto next = queue.Pop(kService, At(n * 0.01));
    REQUIRE(next);
    REQUIRE_FALSE(queue.Pop(kService, At(n * 0.01)));
    ++served[next->mAccount];
    queue.Finish(kService, next->mAccount, At(n * 0.01 + 0.01));
  }
  CHECK(served[kShops] == 60);
  CHECK(served[kPrinters] == 20);
}

// Guards against delaying other accounts when one exceeds its share.
TEST_CASE("an account that needs less than the level never waits")
{
  FairQueue queue({ .mConcurrency = { .mInitialLevel = 4 } });
  queue.Apply(QueueSettings(400));
  Caller caller(queue);
  for (int n = 0; n < 50; ++n) {
    REQUIRE(caller.Push(kPrinters, 0, 100));
  }
  int running = 0;
  while (queue.Pop(kService, At(0))) {
    ++running;
  }
  CHECK(running == 4);
  REQUIRE(caller.Push(kShops, 0, 100));
  const auto next = queue.Pop(kService, At(0));
  REQUIRE(next);
  CHECK(next->mAccount == kShops);
}

// Guards against queueing requests behind slow servers that then miss their
// deadline.
TEST_CASE("a request that cannot complete before its deadline is refused")
{
  FairQueue queue(NonAdaptiveOptions());
  queue.Apply(QueueSettings(2));
  Caller caller(queue);
  // Two connections, each busy for 1 s per request.
  double now = 0;
  for (int n = 0; n < 60; ++n) {
    REQUIRE(caller.Push(kShops, now, now + 100));
    const auto next = queue.Pop(kService, At(now));
    REQUIRE(next);
    if (n > 0) {
      queue.Finish(kService, kShops, At(now + 0.5));
    }
    now += 0.5;
  }
  REQUIRE(caller.Push(kShops, now, now + 100));
  REQUIRE(queue.Pop(kService, At(now)));
  for (int n = 0; n < 10; ++n) {
    REQUIRE(caller.Push(kShops, now, now + 100));
  }
  // Five batches of 1 s each run before it.
  CHECK_FALSE(caller.Push(kShops, now, now + 4));
  CHECK(caller.Push(kShops, now, now + 9));
  // The other account is served next, however many requests of the first one
  // wait.
  CHECK(caller.Push(kPrinters, now, now + 4));
}

// Guards against queueing requests for a stalled service because its latency
// was measured before it stalled.
TEST_CASE("a stall raises the expected wait before any request completes")
{
  FairQueue queue(NonAdaptiveOptions());
  queue.Apply(QueueSettings(1));
  Caller caller(queue);
  double now = 0;
  for (int n = 0; n < 100; ++n, now += 0.01) {
    REQUIRE(caller.Push(kShops, now, now + 1));
    REQUIRE(queue.Pop(kService, At(now)));
    queue.Finish(kService, kShops, At(now + 0.01));
  }
  REQUIRE(caller.Push(kShops, now, now + 1));
  REQUIRE(queue.Pop(kService, At(now)));
  CHECK(caller.Push(kShops, now, now + 1));
  CHECK_FALSE(caller.Push(kShops, now + 3, now + 4));
}

// Guards against losing or double-counting requests that leave the queue
// without running.
TEST_CASE("cancelled and expired requests leave the queue")
{
  FairQueue queue(
    { .mQueueLimit = 3, .mConcurrency = { .mIsAdaptive = false } });
  queue.Apply(QueueSettings(1));
  Caller caller(queue);
  REQUIRE(caller.Push(kShops, 0, 100));
  REQUIRE(queue.Pop(kService, At(0)));
  REQUIRE(caller.Push(kShops, 0, 1));
  REQUIRE(caller.Push(kPrinters, 0, 50));
  REQUIRE(caller.Push(kPrinters, 0, 60));
  CHECK_FALSE(caller.Push(kPrinters, 0, 70));
  CHECK(queue.Cancel(RequestId{ 3 }));
  CHECK_FALSE(queue.Cancel(RequestId{ 3 }));
  CHECK(queue.TakeExpired(At(0.5)).empty());
  const auto expired = queue.TakeExpired(At(1.5));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].mRequest == RequestId{ 2 });
  CHECK(queue.Waiting(kService) == 1);
  CHECK(queue.Running(kService) == 1);
  queue.Finish(kService, kShops, At(2));
  CHECK(queue.Pop(kService, At(2))->mRequest == RequestId{ 4 });
}

// Guards against a level that stays high although the servers are overloaded,
// or that is decreased on a VM whose requests it does not limit.
TEST_CASE("the level falls in overload only where it limits requests")
{
  double utilization = 1;
  const auto options = [&] {
    FairQueue::Options queueOptions;
    queueOptions.mUtilization = [&](const ServiceId&, TimePoint) {
      return std::optional<double>(utilization);
    };
    return queueOptions;
  };
  FairQueue busy(options());
  FairQueue quiet(options());
  for (FairQueue* queue : { &busy, &quiet }) {
    queue->Apply(QueueSettings(400));
  }
  Caller caller(busy);
  for (int n = 0; n < 200; ++n) {
    REQUIRE(caller.Push(kShops, 0, 1000));
  }
  while (busy.Pop(kService, At(0))) {
  }
  const double first = busy.Level(kService);
  const auto run = [&](double aFrom, double aTo) {
    for (double now = aFrom; now < aTo; now += 0.1) {
      busy.TakeExpired(At(now));
      quiet.TakeExpired(At(now));
    }
  };
  run(0, 20);
  CHECK(busy.Level(kService) < first / 2);
  CHECK(quiet.Level(kService) == first);
  utilization = 0.3;
  const double low = busy.Level(kService);
  run(20, 60);
  CHECK(busy.Level(kService) > low);
}

// Guards against memory that grows with every account that ever sent a request.
TEST_CASE("accounts that were removed from the settings are dropped")
{
  FairQueue queue(NonAdaptiveOptions());
  SettingsSnapshot settings = QueueSettings(2);
  queue.Apply(settings);
  Caller caller(queue);
  REQUIRE(caller.Push(kShops, 0, 1000));
  REQUIRE(caller.Push(kPrinters, 0, 1000));
  REQUIRE(queue.Pop(kService, At(0)));
  settings.mAccounts.clear();
  // Both accounts have a request, which waits or runs.
  queue.Apply(settings);
  CHECK(queue.AccountCount(kService) == 2);
  REQUIRE(queue.Cancel(RequestId{ 2 }));
  queue.Apply(settings);
  CHECK(queue.AccountCount(kService) == 1);
}
