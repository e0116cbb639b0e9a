/// \file
/// What a process has to know before it can reach the store or a peer. Each
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

/// Place of the platform's VM list.
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
  /// The region's name if the field is not given.
  SiteId mSite;
  /// Address at which callers and peers reach this VM.
  std::string mAddress;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mPeerPort = 0;
  std::uint16_t mAdminPort = 0;
  /// Address of the administration API; mAddress if the field is not given.
  std::string mAdminAddress;
  std::vector<netutil::Endpoint> mStore;
  std::string mStorePrefix = "/cw/";
  /// Without endpoint if there is no list.
  VmListAddress mVmList;
  /// Peer addresses of VMs to contact first.
  std::vector<netutil::Endpoint> mSeeds;
  /// File with the settings in force until the store or a peer gives some;
  /// empty for none.
  std::string mSettingsFile;
  /// File with the secrets of messages between daemons, one a line; empty for
  /// none.
  std::string mPeerSecretFile;
  /// Directory of log files; empty for standard error.
  std::string mLogDirectory;
};

/// A field that boot files and command lines may set.
struct BootField
{
  std::string_view mName;
  std::string_view mHelp;
};

/// All fields, in the order of the help text.
const std::vector<BootField>& BootFields();

/// Sets one field from text; lists are separated by commas. Errors:
/// InvalidArgument with the field's name and what is wrong.
Result<void> SetBootField(BootSettings& aSettings,
                          std::string_view aName,
                          std::string_view aText);

/// Reads a boot file (YAML, one map of fields). Errors: InvalidArgument with
/// the line and what is wrong.
Result<void> ReadBootFile(std::string_view aText, BootSettings& aSettings);

/// Fills in defaults and checks that nothing required is missing. Errors:
/// InvalidArgument with the names of missing fields.
Result<void> CompleteBootSettings(BootSettings& aSettings);

} // namespace cranberrywing::daemon
