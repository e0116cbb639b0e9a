/// \file
/// Settings of a gateway daemon's process, read from YAML.
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
  /// Where callers connect.
  netutil::Endpoint mCallers;
  /// Where the platform asks for readiness.
  netutil::Endpoint mReadiness;
  /// Where callers ask which VMs to use.
  netutil::Endpoint mLookups;
  /// Datagrams of other VMs.
  netutil::Endpoint mPeers;
  /// Metrics; no port for none.
  netutil::Endpoint mMetrics;
  netutil::Endpoint mStore;
  Milliseconds mLeaseTtlMin{ 1000 };
  /// Region of each failure domain.
  std::map<FailureDomainId, RegionId> mRegions;
  /// Longest lifetime of a lookup's answer.
  Duration mLookupLifetimeMax = std::chrono::seconds(5);
  Duration mStopLimit = std::chrono::seconds(6);
  double mRetryRatio = 0.2;
  double mRetryAllowance = 0;
  Duration mRetryWindow = std::chrono::seconds(10);
  double mColdOvershoot = 1;
  double mColdSlack = 0;
  /// Descriptors that the process may use.
  std::size_t mFileLimit = 4096;
};

/// Reads "1500ms" or "2.5s". Errors: InvalidSettings. Thread-safe.
Result<Duration> ParseDuration(std::string_view aText);

/// Unknown fields are ignored, since the platform may add some. Errors:
/// InvalidSettings with the field's name. Thread-safe.
Result<GatewaySettings> ReadGatewaySettings(const std::string& aText);

} // namespace cranberrywing::daemon
