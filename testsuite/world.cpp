#include "world.h"

namespace cranberrywing::scenario {

namespace {

constexpr Duration kWatchProgressInterval = std::chrono::seconds(1);
constexpr Duration kVmListInterval = std::chrono::seconds(2);
/// Unix time in seconds at virtual time zero; the value is arbitrary.
constexpr std::int64_t kUnixTimeAtStart = 1'800'000'000;

} // namespace

World::World(const Script& aScript)
  : mScript(aScript)
  , mRandom(aScript.mSeed)
{
  for (const VmSettings& settings : aScript.mVms) {
    Vm& vm = mVms[settings.mVm.mName];
    vm.mName = settings.mVm.mName;
    vm.mSelf.mMember.mVm = settings.mVm;
    vm.mSelf.mAddress = settings.mAddress;
    vm.mSelf.mPeerPort = settings.mPeerPort;
    vm.mSelf.mCallerPort = settings.mCallerPort;
    vm.mSelf.mRegion = settings.mRegion;
    vm.mSelf.mFailureDomain = settings.mFailureDomain;
    vm.mSelf.mSite = settings.mSite;
    mListedVms.insert(vm.mName);
  }
}

std::int64_t World::WallSeconds() const
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::seconds>(mNow.time_since_epoch());
  return kUnixTimeAtStart + elapsed.count();
}

void World::Schedule(Vm& aVm, TimePoint aAt, Event aEvent)
{
  mSchedule.push({ .mAt = std::max(aAt, mNow),
                   .mOrder = mOrder++,
                   .mVm = aVm.mName,
                   .mStartNumber = aVm.mStartCount,
                   .mEvent = std::move(aEvent) });
}

void World::Deliver(Vm& aVm, const Event& aEvent)
{
  if (!aVm.mReducer) {
    return;
  }
  if (aVm.mIsPaused) {
    // A paused process misses its ticks; they are not delivered later.
    if (!std::holds_alternative<event::Tick>(aEvent)) {
      aVm.mDeferredEvents.push_back(aEvent);
    }
    return;
  }
  ExecuteEffects(aVm, aVm.mReducer->Reduce(aEvent, mNow, WallSeconds()));
}

void World::TickWatches(Vm& aVm)
{
  if (!aVm.mHasStore || mStoreMode == StoreMode::Down) {
    return;
  }
  const bool isProgressDue =
    mNow.time_since_epoch() % kWatchProgressInterval == Duration::zero();
  const auto& changes = mStore.Changes();
  for (const auto& [id, watch] : aVm.mWatches) {
    event::StoreWatchFired fired{ .mWatch = id,
                                  .mStoreRevision = mStore.StoreRevision() };
    std::size_t& position = aVm.mWatchPosition[id];
    for (; position < changes.size(); ++position) {
      const auto& change = changes[position];
      const bool isInRange =
        change.mEntry.mKey >= watch.mKey &&
        (watch.mRangeEnd.empty() ? change.mEntry.mKey == watch.mKey
                                 : change.mEntry.mKey < watch.mRangeEnd);
      if (isInRange && change.mRevision >= watch.mFromRevision) {
        fired.mEntries.push_back(change.mEntry);
      }
    }
    if (!fired.mEntries.empty() || isProgressDue) {
      Schedule(aVm, mNow + std::chrono::milliseconds(1), std::move(fired));
    }
  }
}

void World::TickAll()
{
  mStore.ExpireLeases(mNow);
  const bool isListDue =
    mNow.time_since_epoch() % kVmListInterval == Duration::zero();
  for (auto& [name, vm] : mVms) {
    if (!vm.mReducer) {
      continue;
    }
    TickWatches(vm);
    if (isListDue) {
      event::VmListReceived list;
      for (const std::string& listed : mListedVms) {
        list.mEntries.push_back({ .mVm = VmId(listed) });
      }
      Deliver(vm, list);
    }
    Deliver(vm, event::Tick{});
  }
}

void World::RunToEnd()
{
  std::size_t step = 0;
  while (mNow <= mScript.mEnd) {
    while (step < mScript.mSteps.size() && mScript.mSteps[step].mAt <= mNow) {
      ExecuteStep(mScript.mSteps[step++]);
    }
    while (!mSchedule.empty() && mSchedule.top().mAt <= mNow) {
      const Scheduled next = mSchedule.top();
      mSchedule.pop();
      Vm& vm = mVms.at(next.mVm);
      // Events for an earlier process of the VM are dropped.
      if (next.mStartNumber == vm.mStartCount) {
        Deliver(vm, next.mEvent);
      }
    }
    if (mNow.time_since_epoch() % event::kTickInterval == Duration::zero()) {
      TickAll();
    }
    mNow += std::chrono::milliseconds(1);
  }
}

} // namespace cranberrywing::scenario
