/// \file
/// Basic value types: identifiers, monotonic time, revisions and incarnations.
///
/// NOLINT on defaulted comparisons: clang-tidy 14 mistakes the zero in a
/// rewritten comparison for a null pointer (modernize-use-nullptr).
///
/// All types here are plain values with the thread safety of the standard
/// containers: concurrent reads of one object are safe, a write excludes any
/// other access.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace cranberrywing {

/// A strongly typed name. Identifiers of different tags neither compare nor
/// convert to each other.
template<class Tag>
struct Id
{
  std::string mName;

  Id() = default;
  explicit Id(std::string_view aName)
    : mName(aName)
  {
  }

  bool IsEmpty() const { return mName.empty(); }
  auto operator<=>(const Id&) const = default; // NOLINT
  bool operator==(const Id&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName);
  }
};

template<class Tag>
std::ostream& operator<<(std::ostream& aStream, const Id<Tag>& aId)
{
  return aStream << aId.mName;
}

/// A machine of the system; one daemon runs on each.
using VmId = Id<struct VmTag>;
using RegionId = Id<struct RegionTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using ServiceId = Id<struct ServiceTag>;
/// A client account: the unit to which keys, rates and fairness apply.
using AccountId = Id<struct AccountTag>;
using RouteId = Id<struct RouteTag>;
/// A backend server of a service.
using BackendId = Id<struct BackendTag>;
/// A site to which client blocks are steered.
using SiteId = Id<struct SiteTag>;

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

/// Clock type of the monotonic time that drivers pass with each event. It has
/// no now(), because the core never reads a clock.
struct MonotonicClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true; // NOLINT
};

/// A point in the local VM's monotonic time. Not comparable between VMs.
using TimePoint = MonotonicClock::time_point;

/// Maximum difference in rate between the monotonic clocks of two VMs, as a
/// fraction.
inline constexpr double kMaxClockDrift = 0.01;

/// Extends a duration so that once it has elapsed here, the original duration
/// has elapsed on every other VM too, for clocks within kMaxClockDrift.
inline Duration WithDriftMargin(Duration aDuration)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * (1.0 + 2.0 * kMaxClockDrift)));
}

/// Number of an accepted configuration. Each accepted change increments it;
/// zero means that no configuration is known.
struct Revision
{
  std::uint64_t mNumber = 0;

  auto operator<=>(const Revision&) const = default; // NOLINT

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber);
  }
};

/// Distinguishes successive processes of one VM. The upper bits hold the start
/// time, so a later process has a greater number.
struct Incarnation
{
  std::uint64_t mNumber = 0;

  auto operator<=>(const Incarnation&) const = default; // NOLINT

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber);
  }
};

/// One process of a VM: the unit that owns slots and shares.
struct VmIncarnation
{
  VmId mVm;
  Incarnation mIncarnation;

  auto operator<=>(const VmIncarnation&) const = default; // NOLINT
  bool operator==(const VmIncarnation&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mIncarnation);
  }
};

/// Identifies a caller's request inside one daemon process.
enum class RequestId : std::uint64_t
{
};

/// Identifies a caller's connection inside one daemon process.
enum class CallerId : std::uint64_t
{
};

/// Identifies a pending administration request inside one daemon process.
enum class AdminRequestId : std::uint64_t
{
};

/// Thread-safe.
inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// 128-bit xxHash digest for comparing contents; not cryptographically secure.
struct ContentDigest
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const ContentDigest&) const = default; // NOLINT

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHigh, mLow);
  }
};

/// Computes the digest of a byte string. Thread-safe.
ContentDigest DigestContent(std::string_view aBytes);

/// Formats the digest in lower-case hex, for logs. Thread-safe.
std::string ToHex(const ContentDigest& aDigest);

/// Computes the 64-bit xxHash of a byte string with a seed. Thread-safe.
std::uint64_t HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);

/// Rendezvous weight of a candidate for an item; the candidate with the
/// greatest weight is chosen. Thread-safe.
std::uint64_t RendezvousWeight(std::string_view aItem,
                               std::string_view aCandidate);

} // namespace cranberrywing

template<class Tag>
struct std::hash<cranberrywing::Id<Tag>>
{
  std::size_t operator()(const cranberrywing::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.mName);
  }
};
