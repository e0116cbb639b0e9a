/// \file
/// Peer messages that move rate-limit tokens between VMs.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// A transfer of which the asker holds nothing more outside of its own
/// capacity: its tokens are used, kept there or returned.
struct EndedTransfer
{
  /// Number of the TokenRequest that the transfer answered.
  std::uint64_t mNumber = 0;
  /// Unused tokens that go back to the giver.
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
  /// Number of the request, unique per sender's incarnation.
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  /// Zero if the message only tells of ended transfers.
  double mWanted = 0;
  /// Transfers of the receiver that have ended before their validity, so
  /// that it may count its capacity as whole again.
  std::vector<EndedTransfer> mEnded;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAccount, mWanted, mEnded);
  }
};

/// Tokens taken from the sender's bucket before this message was sent.
struct TokenTransfer
{
  /// Number of the TokenRequest that it answers.
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  double mTokens = 0;
  /// Tokens left at the sender, to choose whom to ask next.
  double mSpare = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAccount, mTokens, mSpare);
  }
};

} // namespace message
} // namespace cranberrywing
