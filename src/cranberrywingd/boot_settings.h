/// \file
/// Settings that a process needs before it can reach the store or a peer. Each
/// field has the same name in the boot file and on the command line.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"
#include "netutil/endpoint.h"

namespace cranberrywing::daemon {

/// Endpoint and request target of the platform's VM list.
struct VmListAddress
{
  netutil::Endpoint mEndpoint;
  std::string mTarget = "/";
};

struct BootSettings
{
  VmId mVm;
  RegionId mRegion;
  FailureDomainId mFailureDomain;
  /// Defaults to the region's name.
  SiteId mSite;
  /// IP address at which callers and peers reach this VM.
  std::string mAddress;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mPeerPort = 0;
  std::uint16_t mAdminPort = 0;
  /// IP address of the administration API; defaults to mAddress.
  std::string mAdminAddress;
  std::vector<netutil::Endpoint> mStore;
  std::string mStorePrefix = "/cw/";
  /// The endpoint's port is 0 if no list is configured.
  VmListAddress mVmList;
  /// Peer endpoints of the VMs to contact at startup.
  std::vector<netutil::Endpoint> mSeeds;
  /// Settings file that applies until settings arrive from the store or a peer;
  /// empty for none.
  std::string mSettingsFile;
  /// File with the secrets that authenticate messages between daemons, one per
  /// line; empty for none.
  std::string mPeerSecretFile;
  /// Directory for log files; empty to log to standard error.
  std::string mLogDirectory;
};

/// A field that can be set in the boot file or on the command line.
struct BootField
{
  std::string_view mName;
  std::string_view mHelp;
};

/// All fields, in the order of the help text. Thread-safe.
const std::vector<BootField>& BootFields();

/// Sets one field from text; elements of a list are separated by commas.
/// Errors: InvalidArgument with the field's name and the reason. Thread-safe.
Result<void> SetBootField(BootSettings& aSettings,
                          std::string_view aName,
                          std::string_view aText);

/// Reads the text of a boot file, a YAML map of fields, into aSettings. Errors:
/// InvalidArgument with the line and the reason. Thread-safe.
Result<void> ReadBootFile(std::string_view aText, BootSettings& aSettings);

/// Fills in defaults and checks that all required fields are set. Errors:
/// InvalidArgument with the names of the missing fields. Thread-safe.
Result<void> CompleteBootSettings(BootSettings& aSettings);

} // namespace cranberrywing::daemon
