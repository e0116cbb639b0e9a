/// \file
/// One VM's part of a client account's token bucket (design 3.3).
///
/// The sum over all VMs of the tokens held and in transfer never exceeds the
/// account's burst:
///
/// - a bucket holds at most its fraction of the burst, less the tokens lent;
/// - a loan ends with its validity, or when the borrower reports that it holds
///   none of its tokens beyond its own capacity;
/// - borrowed tokens that exceed the borrower's free capacity expire at the end
///   of the validity, which by the borrower's clock is before the lender's
///   capacity is restored.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Identifies a transfer by the process that requested it and the number of its
/// request.
struct TransferId
{
  VmIncarnation mBorrower;
  std::uint64_t mNumber = 0;

  bool operator==(const TransferId&) const = default;
};

/// Not thread-safe. Precondition of all calls: times never decrease. The bucket
/// starts empty.
class TokenBucket
{
public:
  TokenBucket(double aRate, double aBurst, TimePoint aNow);

  /// Sets the rate (requests per second) and burst of the whole account. Call
  /// Advance first.
  void Configure(double aRate, double aBurst);

  /// Refills the bucket up to now. aFraction is this VM's fraction in
  /// millionths; between two calls, the smaller one of their fractions applies.
  void Advance(std::uint32_t aFraction, TimePoint aNow);

  /// Takes one token, borrowed tokens first. False if there is none.
  bool TryTake();
  /// Lends up to aRequested own tokens until aExpiry, which by this VM's clock
  /// must include the margin for clock drift. Returns the tokens lent.
  double Lend(const TransferId& aTransfer,
              double aRequested,
              TimePoint aExpiry);
  /// Ends a loan of which the borrower holds no tokens beyond its own capacity.
  /// The returned tokens are lost if the loan has expired before.
  void EndLoan(const TransferId& aTransfer, double aReturned);
  /// Adds tokens of a transfer that is valid until aExpiry. They become own
  /// tokens as far as there is free capacity.
  void Borrow(std::uint64_t aNumber, double aTokens, TimePoint aExpiry);
  /// Whether tokens of the transfer are held beyond the own capacity.
  bool HoldsBorrowed(std::uint64_t aNumber) const;
  /// Removes the remaining tokens of the transfer and returns their number, in
  /// order to return them to the lender.
  double TakeBorrowed(std::uint64_t aNumber);

  /// OwnTokens tokens, which may be lent.
  double OwnTokens() const { return mOwn; }
  /// OwnTokens and borrowed tokens.
  double TotalTokens() const { return mOwn + mBorrowed; }
  /// Maximum number of own tokens at present.
  double Capacity() const;
  /// Burst of the whole account.
  double Burst() const { return mBurst; }
  /// Refill rate in tokens per second, from this VM's fraction.
  double RefillRate() const;
  TimePoint LastAdvance() const { return mLastAdvance; }

private:
  struct Loan
  {
    TransferId mTransfer;
    double mTokens = 0;
    TimePoint mExpiry{};
  };

  struct BorrowedTokens
  {
    std::uint64_t mNumber = 0;
    double mTokens = 0;
    TimePoint mExpiry{};
  };

  void UpdateTotals();
  void AbsorbBorrowed();
  void ExpireTransfers(TimePoint aNow);

  double mRate = 0;
  double mBurst = 0;
  std::uint32_t mFraction = 0;
  double mOwn = 0;
  double mBorrowed = 0;
  double mLent = 0;
  TimePoint mLastAdvance{};
  std::vector<BorrowedTokens> mBorrowedParts;
  std::vector<Loan> mLoans;
};

} // namespace cranberrywing
