#include <catch2/catch.hpp>

#include "testing/object_memory_model.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;
using namespace cranberrywing::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// Times, slots, objects and cache of the most frequent kind of request in
/// docs/design/uneven-load.md, conference hosting.
ObjectMemoryLoad ConferenceLoad(std::uint64_t aSeed)
{
  return { .mServers = 80,
           .mSlots = 3,
           .mCacheCapacity = 12,
           .mObjects = 262,
           .mSkew = 0.2,
           .mWarm = 132ms,
           .mMissLatency = 440ms,
           .mUnknown = 160ms,
           .mTarget = 400ms,
           .mLoad = 0.45,
           .mSeed = aSeed };
}

struct Comparison
{
  explicit Comparison(const ObjectMemoryLoad& aLoad)
    : mBefore(ObjectMemoryModel(aLoad, ChooseByObject({})).Run())
  {
    ChooseByPlacement choice({});
    mAfter = ObjectMemoryModel(aLoad, std::ref(choice)).Run();
    mMoves = choice.Moves();
  }

  ObjectMemoryResult mBefore;
  ObjectMemoryResult mAfter;
  std::size_t mMoves = 0;
};

std::ostream& operator<<(std::ostream& aStream, const Comparison& aCompared)
{
  for (const ObjectMemoryResult& each :
       { aCompared.mBefore, aCompared.mAfter }) {
    aStream << "within target " << each.WithinTarget() << ", refused "
            << each.Refused() << ", missed " << each.mMisses << "; ";
  }
  return aStream << aCompared.mMoves << " moves";
}

void CheckGain(const Comparison& aCompared)
{
  CHECK(aCompared.mAfter.WithinTarget() > 0.9);
  // At least half of the requests that missed the target meet it.
  CHECK(1 - aCompared.mAfter.WithinTarget() <
        (1 - aCompared.mBefore.WithinTarget()) / 2);
  CHECK(aCompared.mAfter.mRefused < aCompared.mBefore.mRefused / 2);
  // Each move causes one miss, and no object moves twice on average.
  CHECK(aCompared.mAfter.mMisses <=
        aCompared.mBefore.mMisses + aCompared.mMoves);
  CHECK(aCompared.mMoves < 262);
}

} // namespace

// Guards against queues and refusals at the servers that are first for several
// busy objects, while half of all slots are free. At a free server with the
// object cached, more than 9 in 10 responses meet the target.
TEST_CASE("At half load objects of busy servers move to free ones")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    const Comparison compared(ConferenceLoad(seed));
    INFO(compared);
    CheckGain(compared);
  }
}

// Guards against placements that make a failure worse: objects of servers that
// fail or come back must not overload the others, nor move over and over.
TEST_CASE("Placement helps while a quarter of the servers fails and comes back")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    ObjectMemoryLoad load = ConferenceLoad(seed);
    load.mFailingServers = 20;
    const Comparison compared(load);
    INFO(compared);
    CheckGain(compared);
  }
}
