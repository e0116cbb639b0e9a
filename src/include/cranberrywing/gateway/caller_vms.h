/// \file
/// Which of the usable VMs lookups name if the configuration has routes with
/// large responses. A large response occupies a slow link for so long that it
/// delays other responses and the messages between VMs.
#pragma once

#include <map>
#include <vector>

#include "cranberrywing/gateway/event.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// Links of the usable VMs of one region.
struct RegionLinks
{
  /// Greatest known link rate; zero if none is known.
  double mFastestMbps = 0;
  std::size_t mVms = 0;
  std::size_t mFailureDomains = 0;
  /// VMs whose link is at least half as fast as the fastest one, or unknown.
  std::size_t mFastVms = 0;
  /// Failure domains that have such a VM.
  std::size_t mFastFailureDomains = 0;

  /// Whether the fast VMs suffice for the callers of the region: at least three
  /// in at least two failure domains, or in one if the usable VMs of the region
  /// are in one.
  bool HasEnoughFastVms() const;
  /// Whether a VM with this link rate in Mbit/s counts as fast. Zero, like any
  /// other value that is no rate, stands for an unknown one.
  bool IsFast(double aLinkMbps) const;
};

/// Links of the regions of the VMs. Does not depend on their order.
/// Thread-safe.
std::map<RegionId, RegionLinks> SummarizeLinks(
  const std::vector<VmRecord>& aUsable);

/// The VMs that lookups name, in their order: the fast VMs of each region that
/// has enough of them, all VMs of other regions. Depends on the records only,
/// so that all VMs agree. Thread-safe.
std::vector<VmRecord> VmsForLargeResponses(
  const std::vector<VmRecord>& aUsable);

/// Delays leaving VMs out, since callers close connections to a VM that a later
/// answer leaves out: while a fast VM comes and goes, callers would otherwise
/// be moved each time. Not thread-safe; owned by the gateway.
class CallerVms
{
public:
  struct Options
  {
    /// Time for which VMs are still named after VmsForLargeResponses has last
    /// named them. A VM that restarts is back within this time.
    Duration mHoldTime = std::chrono::seconds(10);
  };

  explicit CallerVms(Options aOptions);

  /// Notes which VMs VmsForLargeResponses names now. aUsable holds the usable
  /// VMs of all regions. Precondition: aNow never decreases.
  void Observe(const std::vector<VmRecord>& aUsable, TimePoint aNow);
  /// The VMs that VmsForLargeResponses names, and those that it named within
  /// the hold time according to Observe, in their order.
  std::vector<VmRecord> Choose(const std::vector<VmRecord>& aUsable,
                               TimePoint aNow) const;
  /// Clears the observations.
  void Clear() { mNamedAt.clear(); }

private:
  Options mOptions;
  std::map<VmId, TimePoint> mNamedAt;
};

} // namespace cranberrywing::gateway
