#include "cranberrywing/gateway/store_mirror.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

StoreChange Set(const std::string& aKey, std::int64_t aRevision)
{
  return { .mItem = { aKey, "value " + std::to_string(aRevision), aRevision } };
}

StoreChange Removal(const std::string& aKey, std::int64_t aRevision)
{
  return { .mItem = { .mKey = aKey, .mRevision = aRevision },
           .mIsRemoved = true };
}

} // namespace

TEST_CASE("A mirror returns the changes after a revision")
{
  StoreMirror mirror;
  mirror.Apply(Set("a", 1));
  mirror.Apply(Set("b", 2));
  mirror.SetRevision(5);
  mirror.Apply(Set("c", 6));
  mirror.Apply(Removal("a", 7));
  mirror.SetRevision(8);
  const StoreDelta delta = mirror.ChangesAfter({ 0, 5 });
  CHECK(delta.mAfterRevision == 5);
  CHECK(delta.mRevision == 8);
  CHECK(delta.mChanges == std::vector{ Set("c", 6), Removal("a", 7) });
  CHECK(mirror.ChangesAfter({ 0, 8 }).mChanges.empty());
}

TEST_CASE("A mirror returns a full copy if it has forgotten removals")
{
  StoreMirror mirror({ .mMaxRemovals = 1 });
  mirror.Apply(Set("a", 1));
  mirror.Apply(Set("b", 2));
  mirror.Apply(Set("c", 3));
  mirror.SetRevision(3);
  // Removals before the first listing are unknown.
  CHECK(mirror.ChangesAfter({ 0, 2 }).mAfterRevision == 0);
  mirror.Apply(Removal("a", 4));
  mirror.Apply(Removal("b", 5));
  mirror.SetRevision(5);
  const StoreDelta copy = mirror.ChangesAfter({ 0, 3 });
  CHECK(copy.mAfterRevision == 0);
  CHECK(copy.mChanges == std::vector{ Set("c", 3) });
  CHECK(mirror.ChangesAfter({ 0, 4 }).mChanges ==
        std::vector{ Removal("b", 5) });
}

// Guards against a server that left, or a key that was withdrawn, coming back
// into use through an old message.
TEST_CASE("A mirror ignores changes that are older than what it knows")
{
  StoreMirror mirror;
  CHECK(mirror.Apply(Set("a", 4)));
  CHECK_FALSE(mirror.Apply(Set("a", 3)));
  CHECK_FALSE(mirror.Apply(Removal("a", 3)));
  CHECK(mirror.Apply(Removal("a", 6)));
  CHECK_FALSE(mirror.Apply(Set("a", 5)));
  CHECK(mirror.Apply(Set("a", 7)));
  mirror.SetRevision(9);
  mirror.SetRevision(8);
  CHECK(mirror.GetPosition().mRevision == 9);
}
