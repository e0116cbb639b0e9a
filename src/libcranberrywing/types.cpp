#include "cranberrywing/types.h"

#include <xxhash.h>

namespace cranberrywing {

ContentDigest DigestContent(std::string_view aBytes)
{
  const XXH128_hash_t digest = XXH3_128bits(aBytes.data(), aBytes.size());
  return { .mHigh = digest.high64, .mLow = digest.low64 };
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
