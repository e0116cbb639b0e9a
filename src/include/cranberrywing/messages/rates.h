/// \file
/// Peer messages that transfer rate-limit tokens between VMs.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// A transfer that has ended for the borrower: its tokens have been used,
/// absorbed into the borrower's own capacity, or returned.
struct EndedTransfer
{
  /// Number of the TokenRequest that the transfer answered.
  std::uint64_t mNumber = 0;
  /// Unused tokens that are returned to the lender.
  double mReturned = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mReturned);
  }
};

namespace message {

struct TokenRequest
{
  /// Number of the request, unique per incarnation of the sender.
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  /// Tokens requested; zero if the message only reports ended transfers.
  double mRequested = 0;
  /// Transfers from the receiver that ended before their validity, so that it
  /// can restore its capacity.
  std::vector<EndedTransfer> mEnded;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAccount, mRequested, mEnded);
  }
};

/// Transfers tokens that were taken from the sender's bucket before this
/// message was sent.
struct TokenTransfer
{
  /// Number of the TokenRequest that it answers.
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  double mTokens = 0;
  /// Tokens that the sender could still lend, by which the receiver chooses
  /// peers for its next requests.
  double mSpare = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAccount, mTokens, mSpare);
  }
};

} // namespace message
} // namespace cranberrywing
