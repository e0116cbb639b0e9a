/// \file
/// Rendezvous order of the backend servers of an object. The order must be the
/// same on all VMs and in all builds, since servers cache objects.
#pragma once

#include <cstdint>

namespace cranberrywing::gateway::detail {

/// Combines two 64-bit hashes with the finalizer of SplitMix64. The server
/// whose Backend::mHash gives the greatest result with an object's hash is the
/// first of the object's order, if all servers have the same weight.
/// Thread-safe.
inline std::uint64_t Mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t n = aLeft ^ (aRight * 0x9e3779b97f4a7c15ULL);
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31U);
}

} // namespace cranberrywing::gateway::detail
