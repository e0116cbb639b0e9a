#include "netutil/output_budget.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::netutil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ConnectionId kLarge{ 1 };
constexpr ConnectionId kMiddle{ 2 };
constexpr ConnectionId kSmall{ 3 };

/// A budget of 100 bytes that is exceeded by more than a quarter.
OutputBudget MakeExceeded(Duration aNow)
{
  OutputBudget budget(100);
  budget.Set(kLarge, { .mWaiting = 20, .mUnsent = 50 }, aNow);
  budget.Set(kMiddle, { .mWaiting = 0, .mUnsent = 60 }, aNow);
  budget.Set(kSmall, { .mWaiting = 0, .mUnsent = 10 }, aNow);
  return budget;
}

std::optional<ConnectionId> Stalled(const OutputBudget& aBudget, Duration aNow)
{
  const auto found = aBudget.FindStalled(aNow);
  return found ? std::optional(found->mConnection) : std::nullopt;
}

} // namespace

// Guards against bytes that are counted twice when a waiting response becomes
// output, or that stay counted after their connection has ended.
TEST_CASE("held output is counted once and until it is released")
{
  OutputBudget budget(100);
  budget.Set(kLarge, { .mWaiting = 70, .mUnsent = 0 }, seconds(0));
  budget.Set(kLarge, { .mWaiting = 0, .mUnsent = 75 }, seconds(0));
  budget.Set(kSmall, { .mWaiting = 1, .mUnsent = 2 }, seconds(0));
  CHECK(budget.Bytes() == 78);
  budget.Set(kLarge, { .mWaiting = 0, .mUnsent = 5 }, seconds(0));
  CHECK(budget.Bytes() == 8);
  budget.Remove(kLarge);
  budget.Remove(kLarge);
  CHECK(budget.Bytes() == 3);
  budget.Set(kSmall, {}, seconds(0));
  CHECK(budget.Bytes() == 0);
}

// Guards against small responses that are delayed because of large ones, and
// against servers without a limit that behave as if they had one.
TEST_CASE("only connections above their share pause, and only above the limit")
{
  OutputBudget budget = MakeExceeded(seconds(0));
  CHECK_FALSE(budget.TryRead(kLarge));
  CHECK_FALSE(budget.TryRead(kLarge));
  CHECK_FALSE(budget.TryRead(kMiddle));
  CHECK(budget.TryRead(kSmall));
  CHECK(budget.TryRead(ConnectionId{ 4 }));
  CHECK(budget.Pauses() == 2);
  budget.Set(kLarge, { .mWaiting = 0, .mUnsent = 30 }, seconds(0));
  CHECK(budget.Bytes() == 100);
  CHECK(budget.TryRead(kMiddle));
  OutputBudget unlimited(0);
  unlimited.Set(kLarge, { .mWaiting = 0, .mUnsent = 1000 }, seconds(0));
  CHECK(unlimited.TryRead(kLarge));
  CHECK_FALSE(unlimited.FindStalled(seconds(100)));
}

// Guards against a connection that never reads again: its share grows, it falls
// below it, or the total falls, without an event of its own.
TEST_CASE("a paused connection is returned once when it may read again")
{
  OutputBudget budget = MakeExceeded(seconds(0));
  CHECK_FALSE(budget.TryRead(kLarge));
  CHECK_FALSE(budget.TryRead(kMiddle));
  CHECK(budget.TakeResumable().empty());
  budget.Set(kMiddle, { .mWaiting = 0, .mUnsent = 33 }, seconds(0));
  CHECK(budget.TakeResumable() == std::vector{ kMiddle });
  CHECK(budget.TakeResumable().empty());
  budget.Remove(kMiddle);
  CHECK(budget.TakeResumable() == std::vector{ kLarge });
  CHECK(budget.TakeResumable().empty());
  CHECK(budget.Pauses() == 2);
}

// Guards against closing the connections of clients that read, and of those
// that cannot since an earlier response is missing.
TEST_CASE("the largest connection without progress is closed first")
{
  OutputBudget budget = MakeExceeded(seconds(0));
  CHECK_FALSE(Stalled(budget, seconds(1)));
  CHECK(Stalled(budget, milliseconds(1001)) == kLarge);
  budget.NoteProgress(kLarge, milliseconds(500));
  CHECK(Stalled(budget, milliseconds(1500)) == kMiddle);
  const auto found = budget.FindStalled(milliseconds(1600));
  REQUIRE(found);
  CHECK(found->mConnection == kLarge);
  CHECK(found->mBytes == 70);
  CHECK(found->mWithoutProgress == milliseconds(1100));
  budget.Set(kLarge, { .mWaiting = 70, .mUnsent = 0 }, milliseconds(1600));
  CHECK(Stalled(budget, seconds(9)) == kMiddle);
  budget.Set(kLarge, { .mWaiting = 0, .mUnsent = 70 }, seconds(9));
  CHECK(Stalled(budget, seconds(10)) == kMiddle);
  // At 1.25 times the limit, none is closed.
  budget.Set(kLarge, { .mWaiting = 0, .mUnsent = 55 }, seconds(10));
  CHECK(budget.Bytes() == 125);
  CHECK_FALSE(Stalled(budget, seconds(20)));
}
