/// \file
/// One VM's part of a client account's token bucket (design 3.3).
///
/// Over all VMs of an account, tokens held plus tokens lent and not yet
/// returned to their giver's capacity never exceed the burst:
///
/// - a bucket holds at most its fraction of the burst, less what it has lent
///   and whose validity has not ended;
/// - borrowed tokens end with the validity of their transfer, before the
///   giver's capacity is restored, except for those that fit into the
///   borrower's own free capacity.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

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
  double Lend(double aWanted, TimePoint aEnd);
  /// Adds tokens of a transfer that is valid until aEnd.
  void Borrow(double aTokens, TimePoint aEnd);

  /// Own tokens, which may be lent.
  double Own() const { return mOwn; }
  /// Own and borrowed tokens.
  double Total() const { return mOwn + mBorrowed; }
  /// Greatest number of own tokens at present.
  double Capacity() const;
  /// Tokens per second from this VM's fraction.
  double RefillRate() const;
  TimePoint LastAdvance() const { return mLastAdvance; }

private:
  struct Part
  {
    double mTokens = 0;
    TimePoint mEnd{};
  };

  void EndLoans(TimePoint aNow);

  double mRate = 0;
  double mBurst = 0;
  std::uint32_t mFraction = 0;
  double mOwn = 0;
  double mBorrowed = 0;
  double mLent = 0;
  TimePoint mLastAdvance{};
  std::vector<Part> mBorrowedParts;
  std::vector<Part> mLentParts;
};

} // namespace cranberrywing
