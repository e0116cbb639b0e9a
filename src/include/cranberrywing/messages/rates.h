/// \file
/// Peer messages that move rate-limit tokens between VMs.
#pragma once

#include <cstdint>

#include "cranberrywing/types.h"

namespace cranberrywing::message {

struct TokenRequest
{
  /// Number of the request, unique per sender's incarnation.
  std::uint64_t mNumber = 0;
  AccountId mAccount;
  double mWanted = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mAccount, mWanted);
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
