#include "cranberrywing/token_bucket.h"

#include <algorithm>

#include "cranberrywing/share_ledger.h"

namespace cranberrywing {

namespace {

/// Tolerance for rounding errors: a sum of fractional tokens may fall short of
/// a whole token.
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

void TokenBucket::UpdateTotals()
{
  // Sums are recomputed instead of updated, so that rounding errors do not
  // accumulate.
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

void TokenBucket::ExpireTransfers(TimePoint aNow)
{
  const auto isExpired = [aNow](const auto& aPart) {
    return aPart.mExpiry <= aNow;
  };
  std::erase_if(mLoans, isExpired);
  std::erase_if(mBorrowedParts, isExpired);
  UpdateTotals();
}

void TokenBucket::AbsorbBorrowed()
{
  for (BorrowedTokens& part : mBorrowedParts) {
    const double absorbed = std::clamp(Capacity() - mOwn, 0.0, part.mTokens);
    part.mTokens -= absorbed;
    mOwn += absorbed;
  }
  std::erase_if(mBorrowedParts,
                [](const BorrowedTokens& aPart) { return aPart.mTokens <= 0; });
  UpdateTotals();
}

void TokenBucket::Advance(std::uint32_t aFraction, TimePoint aNow)
{
  ExpireTransfers(aNow);
  const std::uint32_t fraction = std::min(aFraction, mFraction);
  mFraction = aFraction;
  if (aNow > mLastAdvance) {
    const std::chrono::duration<double> elapsed = aNow - mLastAdvance;
    mOwn += Fraction(fraction) * mRate * elapsed.count();
    mLastAdvance = aNow;
  }
  mOwn = std::min(mOwn, Capacity());
  if (!mBorrowedParts.empty()) {
    AbsorbBorrowed();
  }
}

bool TokenBucket::TryTake()
{
  if (TotalTokens() < 1.0 - kRounding) {
    return false;
  }
  double missing = 1.0;
  for (BorrowedTokens& part : mBorrowedParts) {
    const double taken = std::min(part.mTokens, missing);
    part.mTokens -= taken;
    missing -= taken;
  }
  mOwn = std::max(0.0, mOwn - missing);
  if (!mBorrowedParts.empty()) {
    AbsorbBorrowed();
  }
  return true;
}

double TokenBucket::Lend(const TransferId& aTransfer,
                         double aRequested,
                         TimePoint aExpiry)
{
  const double tokens = std::clamp(aRequested, 0.0, mOwn);
  if (tokens <= 0) {
    return 0;
  }
  mOwn -= tokens;
  mLoans.push_back(
    { .mTransfer = aTransfer, .mTokens = tokens, .mExpiry = aExpiry });
  UpdateTotals();
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
  // Also maps NaN to zero.
  const double returned = aReturned > 0 ? std::min(aReturned, it->mTokens) : 0;
  mLoans.erase(it);
  UpdateTotals();
  mOwn = std::min(mOwn + returned, Capacity());
}

void TokenBucket::Borrow(std::uint64_t aNumber,
                         double aTokens,
                         TimePoint aExpiry)
{
  mBorrowedParts.push_back(
    { .mNumber = aNumber, .mTokens = aTokens, .mExpiry = aExpiry });
  AbsorbBorrowed();
}

bool TokenBucket::HoldsBorrowed(std::uint64_t aNumber) const
{
  return std::any_of(
    mBorrowedParts.begin(),
    mBorrowedParts.end(),
    [&](const BorrowedTokens& aPart) { return aPart.mNumber == aNumber; });
}

double TokenBucket::TakeBorrowed(std::uint64_t aNumber)
{
  double tokens = 0;
  for (const BorrowedTokens& part : mBorrowedParts) {
    tokens += part.mNumber == aNumber ? part.mTokens : 0;
  }
  std::erase_if(mBorrowedParts, [aNumber](const BorrowedTokens& aPart) {
    return aPart.mNumber == aNumber;
  });
  UpdateTotals();
  return tokens;
}

} // namespace cranberrywing
