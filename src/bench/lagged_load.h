/// \file
/// Load of each region as delayed reports show it, and a region choice based on
/// these reports alone, which is the baseline of the offers benchmark.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "bench/queueing_model.h"

namespace cranberrywing::bench {

inline constexpr std::size_t kRegions = 5;
/// Capacity of each region in requests per second.
inline constexpr double kCapacity = 2000;
inline constexpr Duration kReportInterval = std::chrono::seconds(1);

/// Counts the requests that arrive in each region and reports the rate per
/// second, delayed by a lag.
class RegionLoads
{
public:
  RegionLoads(EventLoop& aLoop, std::size_t aLagSeconds)
    : mLoop(aLoop)
    , mLag(aLagSeconds)
    , mCounts(kRegions, 0)
  {
    ScheduleSecondEnd();
  }

  void Count(std::size_t aRegion) { ++mCounts[aRegion]; }

  /// Load in the second that ended aLagSeconds before the last complete one;
  /// nullopt if there is none yet.
  std::optional<double> Reported(std::size_t aRegion) const
  {
    if (mHistory.size() <= mLag) {
      return std::nullopt;
    }
    return mHistory[mHistory.size() - 1 - mLag][aRegion];
  }

  /// Load of every region (inner index) in every second so far.
  const std::vector<std::vector<double>>& History() const { return mHistory; }

private:
  /// Closes the current second at its end and starts the next one.
  void ScheduleSecondEnd()
  {
    mLoop.After(kReportInterval, [this] {
      mHistory.emplace_back(mCounts.begin(), mCounts.end());
      std::fill(mCounts.begin(), mCounts.end(), 0);
      ScheduleSecondEnd();
    });
  }

  EventLoop& mLoop;
  std::size_t mLag;
  std::vector<std::uint64_t> mCounts;
  std::vector<std::vector<double>> mHistory;
};

/// Baseline policies without reservations. The rate to send to other regions is
/// computed as in OfferBook; the target is the region with the least reported
/// load or, if aSpreadByCapacity, all regions in proportion to their reported
/// spare capacity.
class LaggedLoadChooser
{
public:
  LaggedLoadChooser(const RegionLoads& aLoads,
                    std::size_t aRegion,
                    double aUtilization,
                    bool aSpreadByCapacity,
                    std::uint64_t aSeed)
    : mLoads(aLoads)
    , mSpreadByCapacity(aSpreadByCapacity)
    , mRegion(aRegion)
    , mUtilization(aUtilization)
    , mRandom(aSeed)
  {
  }

  /// Region of the next request.
  std::size_t Choose()
  {
    ++mArrivals;
    std::uniform_real_distribution<double> draw(0, 1);
    if (mSpillFraction > 0 && draw(mRandom) < mSpillFraction) {
      return mTargets(mRandom);
    }
    ++mLocal;
    return mRegion;
  }

  /// Recomputes the spill rate; aSeconds is the time since the last call.
  void UpdateSpill(double aSeconds)
  {
    const double gain = 1 - std::exp(-aSeconds / 2);
    mRate += gain * (static_cast<double>(mArrivals) / aSeconds - mRate);
    mLocalRate += gain * (static_cast<double>(mLocal) / aSeconds - mLocalRate);
    mArrivals = 0;
    mLocal = 0;
    const std::optional<double> own = mLoads.Reported(mRegion);
    if (!own || *own <= 0) {
      return;
    }
    const double correction =
      std::clamp(mUtilization * kCapacity / *own, 0.3, 1.5);
    const double targetSpill =
      std::clamp(mRate - mLocalRate * correction, 0.0, mRate);
    mSpillRate += 0.1 * (targetSpill - mSpillRate);
    const bool hasRoom = ChooseTargets();
    mSpillFraction = hasRoom && mRate > 0 ? mSpillRate / mRate : 0;
  }

private:
  /// Sets the distribution over other regions; false if none has spare
  /// capacity.
  bool ChooseTargets()
  {
    std::vector<double> spare(kRegions, 0);
    for (std::size_t n = 0; n < kRegions; ++n) {
      if (n != mRegion) {
        const double remaining = mUtilization * kCapacity - *mLoads.Reported(n);
        spare[n] = std::max(0.0, remaining);
      }
    }
    const double greatestSpare = *std::max_element(spare.begin(), spare.end());
    if (!mSpreadByCapacity) {
      std::replace_if(
        spare.begin(),
        spare.end(),
        [greatestSpare](double aSpare) { return aSpare < greatestSpare; },
        0);
    }
    if (greatestSpare > 0) {
      mTargets =
        std::discrete_distribution<std::size_t>(spare.begin(), spare.end());
    }
    return greatestSpare > 0;
  }

  const RegionLoads& mLoads;
  bool mSpreadByCapacity;
  std::size_t mRegion;
  double mUtilization;
  std::mt19937_64 mRandom;
  std::uint64_t mArrivals = 0;
  std::uint64_t mLocal = 0;
  double mRate = 0;
  double mLocalRate = 0;
  double mSpillRate = 0;
  double mSpillFraction = 0;
  std::discrete_distribution<std::size_t> mTargets;
};

} // namespace cranberrywing::bench
