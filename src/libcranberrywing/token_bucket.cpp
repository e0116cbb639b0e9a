#include "cranberrywing/token_bucket.h"

#include <algorithm>

#include "cranberrywing/share_ledger.h"

namespace cranberrywing {

namespace {

/// Sums of fractions of tokens may fall short of a whole by rounding.
constexpr double kRounding = 1e-9;

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

void TokenBucket::SumUp()
{
  // Summed anew rather than kept up, so that rounding cannot add up.
  const auto sum = [](const auto& aParts) {
    double tokens = 0;
    for (const auto& part : aParts) {
      tokens += part.mTokens;
    }
    return tokens;
  };
  mLent = sum(mLoans);
  mBorrowed = sum(mBorrowedParts);
}

void TokenBucket::EndTransfers(TimePoint aNow)
{
  const auto isOver = [aNow](const auto& aPart) { return aPart.mEnd <= aNow; };
  std::erase_if(mLoans, isOver);
  std::erase_if(mBorrowedParts, isOver);
  SumUp();
}

void TokenBucket::KeepBorrowed()
{
  for (Borrowed& part : mBorrowedParts) {
    const double kept = std::clamp(Capacity() - mOwn, 0.0, part.mTokens);
    part.mTokens -= kept;
    mOwn += kept;
  }
  std::erase_if(mBorrowedParts,
                [](const Borrowed& aPart) { return aPart.mTokens <= 0; });
  SumUp();
}

void TokenBucket::Advance(std::uint32_t aFraction, TimePoint aNow)
{
  EndTransfers(aNow);
  const std::uint32_t counted = std::min(aFraction, mFraction);
  mFraction = aFraction;
  if (aNow > mLastAdvance) {
    const std::chrono::duration<double> elapsed = aNow - mLastAdvance;
    mOwn += Fraction(counted) * mRate * elapsed.count();
    mLastAdvance = aNow;
  }
  mOwn = std::min(mOwn, Capacity());
  if (!mBorrowedParts.empty()) {
    KeepBorrowed();
  }
}

bool TokenBucket::Take()
{
  if (Total() < 1.0 - kRounding) {
    return false;
  }
  double missing = 1.0;
  for (Borrowed& part : mBorrowedParts) {
    const double taken = std::min(part.mTokens, missing);
    part.mTokens -= taken;
    missing -= taken;
  }
  mOwn = std::max(0.0, mOwn - missing);
  if (!mBorrowedParts.empty()) {
    KeepBorrowed();
  }
  return true;
}

double TokenBucket::Lend(const TransferId& aTransfer,
                         double aWanted,
                         TimePoint aEnd)
{
  const double tokens = std::clamp(aWanted, 0.0, mOwn);
  if (tokens <= 0) {
    return 0;
  }
  mOwn -= tokens;
  mLoans.push_back({ .mTransfer = aTransfer, .mTokens = tokens, .mEnd = aEnd });
  SumUp();
  return tokens;
}

void TokenBucket::EndLoan(const TransferId& aTransfer, double aReturned)
{
  const auto it =
    std::find_if(mLoans.begin(), mLoans.end(), [&](const Loan& aLoan) {
      return aLoan.mTransfer == aTransfer;
    });
  if (it == mLoans.end()) {
    return;
  }
  // Also zero for a value that is no number.
  const double returned = aReturned > 0 ? std::min(aReturned, it->mTokens) : 0;
  mLoans.erase(it);
  SumUp();
  mOwn = std::min(mOwn + returned, Capacity());
}

void TokenBucket::Borrow(std::uint64_t aNumber, double aTokens, TimePoint aEnd)
{
  mBorrowedParts.push_back(
    { .mNumber = aNumber, .mTokens = aTokens, .mEnd = aEnd });
  KeepBorrowed();
}

bool TokenBucket::HoldsBorrowed(std::uint64_t aNumber) const
{
  return std::any_of(
    mBorrowedParts.begin(), mBorrowedParts.end(), [&](const Borrowed& aPart) {
      return aPart.mNumber == aNumber;
    });
}

double TokenBucket::TakeBorrowed(std::uint64_t aNumber)
{
  double tokens = 0;
  for (const Borrowed& part : mBorrowedParts) {
    tokens += part.mNumber == aNumber ? part.mTokens : 0;
  }
  std::erase_if(mBorrowedParts, [aNumber](const Borrowed& aPart) {
    return aPart.mNumber == aNumber;
  });
  SumUp();
  return tokens;
}

} // namespace cranberrywing
