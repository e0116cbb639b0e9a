#include "netutil/output_budget.h"

namespace cranberrywing::netutil {

namespace {

/// Time without progress after which a connection may be closed.
constexpr std::chrono::seconds kStallTime{ 1 };
/// Connections are closed while the limit is exceeded by 1 / this. The margin
/// lets paused connections drain before any is closed.
constexpr std::size_t kCloseMarginDivisor = 4;

} // namespace

void OutputBudget::Set(ConnectionId aConnection,
                       const HeldOutput& aHeld,
                       Duration aNow)
{
  const auto it = mHoldings.find(aConnection);
  if (it == mHoldings.end()) {
    if (aHeld.Total() > 0) {
      mHoldings[aConnection] = { .mHeld = aHeld, .mProgress = aNow };
      mBytes += aHeld.Total();
    }
    return;
  }
  Holding& holding = it->second;
  mBytes = mBytes - holding.mHeld.Total() + aHeld.Total();
  if (aHeld.Total() == 0) {
    mHoldings.erase(it);
    return;
  }
  if (holding.mHeld.mUnsent == 0) {
    holding.mProgress = aNow;
  }
  holding.mHeld = aHeld;
}

void OutputBudget::NoteProgress(ConnectionId aConnection, Duration aNow)
{
  const auto it = mHoldings.find(aConnection);
  if (it != mHoldings.end()) {
    it->second.mProgress = aNow;
  }
}

void OutputBudget::Remove(ConnectionId aConnection)
{
  Set(aConnection, {}, {});
  mPaused.erase(aConnection);
}

bool OutputBudget::MayRead(ConnectionId aConnection) const
{
  if (!IsExceeded()) {
    return true;
  }
  const auto it = mHoldings.find(aConnection);
  return it == mHoldings.end() ||
         it->second.mHeld.Total() <= mMaxBytes / mHoldings.size();
}

bool OutputBudget::TryRead(ConnectionId aConnection)
{
  if (MayRead(aConnection)) {
    if (!mPaused.empty()) {
      mPaused.erase(aConnection);
    }
    return true;
  }
  if (mPaused.insert(aConnection).second) {
    ++mPauses;
  }
  return false;
}

std::vector<ConnectionId> OutputBudget::TakeResumable()
{
  std::vector<ConnectionId> resumable;
  for (const ConnectionId each : mPaused) {
    if (MayRead(each)) {
      resumable.push_back(each);
    }
  }
  for (const ConnectionId each : resumable) {
    mPaused.erase(each);
  }
  return resumable;
}

std::optional<StalledConnection> OutputBudget::FindStalled(Duration aNow) const
{
  if (!IsExceeded() || mBytes - mMaxBytes <= mMaxBytes / kCloseMarginDivisor) {
    return std::nullopt;
  }
  std::optional<StalledConnection> largest;
  for (const auto& [id, holding] : mHoldings) {
    const std::size_t bytes = holding.mHeld.Total();
    const Duration stalled = aNow - holding.mProgress;
    if (holding.mHeld.mUnsent > 0 && stalled > kStallTime &&
        (!largest || bytes > largest->mBytes)) {
      largest = { .mConnection = id,
                  .mBytes = bytes,
                  .mWithoutProgress = stalled };
    }
  }
  return largest;
}

} // namespace cranberrywing::netutil
