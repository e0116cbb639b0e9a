/// \file
/// One VM's part of a client account's token bucket (design 3.3).
///
/// Over all VMs of an account, tokens held plus tokens in transfers never
/// exceed the burst:
///
/// - a bucket holds at most its fraction of the burst, less what it has lent;
/// - a loan ends with its validity, or when the borrower tells that nothing
///   of it is left outside of the borrower's own capacity;
/// - borrowed tokens that do not fit into the borrower's own free capacity
///   are lost when the validity ends, which by the borrower's clock is before
///   the giver's capacity is restored.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Names a transfer: the process that asked for it and its number there.
struct TransferId
{
  VmIncarnation mAsker;
  std::uint64_t mNumber = 0;

  bool operator==(const TransferId&) const = default;
};

/// Not thread-safe. Times never decrease. Starts empty.
class TokenBucket
{
public:
  TokenBucket(double aRate, double aBurst, TimePoint aNow);

  /// Changes the account's whole rate (requests per second) and burst. Call
  /// Advance first.
  void Configure(double aRate, double aBurst);

  /// Refills up to now. aFraction is this VM's part in millionths; of a
  /// change since the last call, the smaller value counts for the time
  /// between.
  void Advance(std::uint32_t aFraction, TimePoint aNow);

  /// Takes one token, borrowed ones first. False if there is none.
  bool Take();
  /// Takes up to aWanted own tokens for a transfer that ends at aEnd, by this
  /// VM's clock with the margin for clock drift. Returns the tokens taken.
  double Lend(const TransferId& aTransfer, double aWanted, TimePoint aEnd);
  /// The borrower holds nothing more of the transfer outside of its own
  /// capacity and returns some tokens, which are lost if the loan has ended
  /// before.
  void EndLoan(const TransferId& aTransfer, double aReturned);
  /// Adds tokens of a transfer that is valid until aEnd, as own ones as far
  /// as there is room.
  void Borrow(std::uint64_t aNumber, double aTokens, TimePoint aEnd);
  /// Whether something of the transfer is left outside of the own capacity.
  bool HoldsBorrowed(std::uint64_t aNumber) const;
  /// Takes what is left of the transfer, to return it.
  double TakeBorrowed(std::uint64_t aNumber);

  /// Own tokens, which may be lent.
  double Own() const { return mOwn; }
  /// Own and borrowed tokens.
  double Total() const { return mOwn + mBorrowed; }
  /// Greatest number of own tokens at present.
  double Capacity() const;
  /// Burst of the whole account.
  double Burst() const { return mBurst; }
  /// Tokens per second from this VM's fraction.
  double RefillRate() const;
  TimePoint LastAdvance() const { return mLastAdvance; }

private:
  struct Loan
  {
    TransferId mTransfer;
    double mTokens = 0;
    TimePoint mEnd{};
  };

  struct Borrowed
  {
    std::uint64_t mNumber = 0;
    double mTokens = 0;
    TimePoint mEnd{};
  };

  void SumUp();
  void KeepBorrowed();
  void EndTransfers(TimePoint aNow);

  double mRate = 0;
  double mBurst = 0;
  std::uint32_t mFraction = 0;
  double mOwn = 0;
  double mBorrowed = 0;
  double mLent = 0;
  TimePoint mLastAdvance{};
  std::vector<Borrowed> mBorrowedParts;
  std::vector<Loan> mLoans;
};

} // namespace cranberrywing
