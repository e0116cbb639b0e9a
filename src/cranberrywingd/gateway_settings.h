/// \file
/// Process settings of a gateway daemon, read from YAML.
#pragma once

#include <map>
#include <string>

#include "cranberrywing/gateway/gateway.h"
#include "netutil/endpoint.h"

namespace cranberrywing::daemon {

struct GatewaySettings
{
  VmId mVm;
  RegionId mRegion;
  FailureDomainId mFailureDomain;
  /// Endpoint for callers' requests.
  netutil::Endpoint mCallers;
  /// Endpoint for the platform's readiness checks.
  netutil::Endpoint mReadiness;
  /// Endpoint for lookups of the VMs that callers should use.
  netutil::Endpoint mLookups;
  /// UDP endpoint for messages of other VMs.
  netutil::Endpoint mPeers;
  /// Endpoint for metrics; port 0 disables it.
  netutil::Endpoint mMetrics;
  netutil::Endpoint mStore;
  /// Minimum lease duration that the store grants.
  Milliseconds mLeaseTtlMin{ 1000 };
  /// Region of each failure domain.
  std::map<FailureDomainId, RegionId> mRegions;
  /// Maximum lifetime of a lookup answer.
  Duration mLookupLifetimeMax = std::chrono::seconds(5);
  /// Maximum duration of a graceful shutdown.
  Duration mStopLimit = std::chrono::seconds(6);
  double mRetryRatio = 0.2;
  double mRetryAllowance = 0;
  Duration mRetryWindow = std::chrono::seconds(10);
  double mColdOvershoot = 1;
  double mColdSlack = 0;
  /// Maximum fraction of a region's requests that may change their region
  /// within two seconds.
  double mMaxShift = 0.15;
  /// Rate of this VM's link in Mbit/s; zero if unknown.
  double mLinkMbps = 0;
  /// Maximum number of file descriptors of the process.
  std::size_t mFileLimit = 4096;
  /// Memory limit of the process in bytes.
  std::size_t mMemoryLimit = 256UL * 1024 * 1024;
};

/// Parses a duration such as "1500ms" or "2.5s". Errors: InvalidSettings.
/// Thread-safe.
Result<Duration> ParseDuration(std::string_view aText);

/// Parses the settings from YAML text. Unknown fields are ignored, since the
/// platform may add some. Errors: InvalidSettings with the field's name.
/// Thread-safe.
Result<GatewaySettings> ReadGatewaySettings(const std::string& aText);

} // namespace cranberrywing::daemon
