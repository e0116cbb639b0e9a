/// \file
/// Peer messages that move rate-limit tokens between VMs.
#pragma once

#include <cstdint>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::message {

struct TokenRequest
{
  /// Number of the request, unique per sender's incarnation.
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  /// Zero if the message only tells of ended transfers.
  double mWanted = 0;
  /// Numbers of the receiver's transfers whose tokens the sender has used or
  /// holds within its own capacity, so that the receiver may count its
  /// capacity as whole again before their validity ends.
  std::vector<std::uint64_t> mEnded;

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

} // namespace cranberrywing::message
