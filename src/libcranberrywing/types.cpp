#include "cranberrywing/types.h"

#include <xxhash.h>

namespace cranberrywing {

ContentDigest DigestContent(std::string_view aBytes)
{
  const XXH128_hash_t digest = XXH3_128bits(aBytes.data(), aBytes.size());
  return { .mHigh = digest.high64, .mLow = digest.low64 };
}

std::string ToHex(const ContentDigest& aDigest)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint64_t part : { aDigest.mHigh, aDigest.mLow }) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      text += kDigits[(part >> shift) & 15];
    }
  }
  return text;
}

std::uint64_t HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t RendezvousWeight(std::string_view aItem,
                               std::string_view aCandidate)
{
  return HashBytes(aCandidate, HashBytes(aItem));
}

} // namespace cranberrywing
