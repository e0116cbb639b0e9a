#include "cranberrywing/token_bucket.h"

#include <algorithm>
#include <numeric>

#include "cranberrywing/share_ledger.h"

namespace cranberrywing {

namespace {

/// Sums of fractions of tokens may fall short of a whole by rounding.
constexpr double kRounding = 1e-9;
/// Borrowed tokens are kept as own ones, if there is room, this long before
/// their end; longer than two ticks.
constexpr Duration kKeepMargin = std::chrono::milliseconds(25);

double Fraction(std::uint32_t aMillionths)
{
  return static_cast<double>(aMillionths) / kWholeShare;
}

} // namespace

TokenBucket::TokenBucket(double aRate, double aBurst, TimePoint aNow)
  : mRate(aRate)
  , mBurst(aBurst)
  , mLastAdvance(aNow)
{
}

void TokenBucket::Configure(double aRate, double aBurst)
{
  mRate = aRate;
  mBurst = aBurst;
  mOwn = std::min(mOwn, Capacity());
}

double TokenBucket::Capacity() const
{
  return std::max(0.0, Fraction(mFraction) * mBurst - mLent);
}

double TokenBucket::RefillRate() const
{
  return Fraction(mFraction) * mRate;
}

void TokenBucket::EndLoans(TimePoint aNow)
{
  const auto end = [aNow](std::vector<Part>& aParts) {
    std::erase_if(aParts,
                  [aNow](const Part& aPart) { return aPart.mEnd <= aNow; });
    // Summed anew rather than subtracted, so that rounding cannot add up.
    return std::accumulate(
      aParts.begin(), aParts.end(), 0.0, [](double aSum, const Part& aPart) {
        return aSum + aPart.mTokens;
      });
  };
  mLent = end(mLentParts);
  mBorrowed = end(mBorrowedParts);
}

void TokenBucket::Advance(std::uint32_t aFraction, TimePoint aNow)
{
  EndLoans(aNow);
  const std::uint32_t counted = std::min(aFraction, mFraction);
  mFraction = aFraction;
  if (aNow > mLastAdvance) {
    const std::chrono::duration<double> elapsed = aNow - mLastAdvance;
    mOwn += Fraction(counted) * mRate * elapsed.count();
    mLastAdvance = aNow;
  }
  mOwn = std::min(mOwn, Capacity());
  for (Part& part : mBorrowedParts) {
    if (part.mEnd - aNow > kKeepMargin) {
      continue;
    }
    const double kept = std::min(part.mTokens, Capacity() - mOwn);
    part.mTokens -= kept;
    mBorrowed -= kept;
    mOwn += kept;
  }
}

bool TokenBucket::Take()
{
  if (Total() < 1.0 - kRounding) {
    return false;
  }
  double missing = 1.0;
  for (Part& part : mBorrowedParts) {
    const double taken = std::min(part.mTokens, missing);
    part.mTokens -= taken;
    missing -= taken;
  }
  std::erase_if(mBorrowedParts,
                [](const Part& aPart) { return aPart.mTokens <= 0; });
  mBorrowed = mBorrowedParts.empty() ? 0 : mBorrowed - (1.0 - missing);
  mOwn = std::max(0.0, mOwn - missing);
  return true;
}

double TokenBucket::Lend(double aWanted, TimePoint aEnd)
{
  const double tokens = std::clamp(aWanted, 0.0, mOwn);
  if (tokens <= 0) {
    return 0;
  }
  mOwn -= tokens;
  mLent += tokens;
  mLentParts.push_back({ .mTokens = tokens, .mEnd = aEnd });
  return tokens;
}

void TokenBucket::Borrow(double aTokens, TimePoint aEnd)
{
  if (aTokens <= 0) {
    return;
  }
  mBorrowed += aTokens;
  mBorrowedParts.push_back({ .mTokens = aTokens, .mEnd = aEnd });
}

} // namespace cranberrywing
