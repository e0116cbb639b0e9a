#include "cranberrywingd/boot_settings.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <functional>
#include <yaml-cpp/yaml.h>

#include "cranberrywing/parse_number.h"

namespace cranberrywing::daemon {

namespace {

using Setter = Result<void> (*)(BootSettings&, std::string_view);

/// A field and the function that parses and sets it.
struct FieldRow
{
  BootField mField;
  Setter mSet;
};

tl::unexpected<Error> InvalidArgumentError(const std::string& aReason)
{
  return MakeError(ResultCode::InvalidArgument, aReason);
}

Result<std::string> ReadName(std::string_view aText)
{
  const auto isAllowed = [](unsigned char aCharacter) {
    return std::isalnum(aCharacter) || aCharacter == '-' || aCharacter == '_' ||
           aCharacter == '.';
  };
  if (aText.empty() || !std::all_of(aText.begin(), aText.end(), isAllowed)) {
    return InvalidArgumentError(
      "'" + std::string(aText) +
      "' is not a name: use letters, digits, '-', '_' and '.'");
  }
  return std::string(aText);
}

Result<std::string> ReadAddress(std::string_view aText)
{
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(aText), ec);
  if (ec) {
    return InvalidArgumentError("'" + std::string(aText) +
                                "' is not an IP address");
  }
  return address.to_string();
}

Result<std::uint16_t> ReadPort(std::string_view aText)
{
  const auto port = ParseNumber<std::uint16_t>(aText);
  if (!port || *port == 0) {
    return InvalidArgumentError("'" + std::string(aText) +
                                "' is not a port from 1 to 65535");
  }
  return *port;
}

Result<VmListAddress> ReadVmList(std::string_view aText)
{
  const auto url = boost::urls::parse_uri({ aText.data(), aText.size() });
  if (!url || url->scheme() != "http") {
    return InvalidArgumentError(
      "'" + std::string(aText) +
      "' is not an http URL such as http://127.0.0.1:2381/vms");
  }
  const std::string host(url->encoded_host());
  const std::string port = url->has_port() ? std::string(url->port()) : "80";
  const auto endpoint = netutil::ParseEndpoint(host + ":" + port);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  VmListAddress address{ .mEndpoint = *endpoint, .mTarget = "/" };
  const std::string target(url->encoded_target());
  if (!target.empty()) {
    address.mTarget = target;
  }
  return address;
}

/// Assigns a parsed value to aTarget, or passes the error on.
template<class Value, class Target>
Result<void> Assign(const Result<Value>& aRead, Target& aTarget)
{
  if (!aRead) {
    return tl::unexpected(aRead.error());
  }
  aTarget = Target(*aRead);
  return {};
}

const std::array kFields{
  FieldRow{ { "vm", "Name of this VM" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadName(aText), aOut.mVm);
            } },
  FieldRow{ { "region", "Region of this VM" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadName(aText), aOut.mRegion);
            } },
  FieldRow{ { "failure_domain", "Failure domain of this VM" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadName(aText), aOut.mFailureDomain);
            } },
  FieldRow{ { "site", "Site of this VM; the region's name by default" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadName(aText), aOut.mSite);
            } },
  FieldRow{ { "address", "IP address for callers and peers" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadAddress(aText), aOut.mAddress);
            } },
  FieldRow{ { "caller_port", "TCP port for callers" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadPort(aText), aOut.mCallerPort);
            } },
  FieldRow{ { "peer_port", "UDP and TCP port for peers" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadPort(aText), aOut.mPeerPort);
            } },
  FieldRow{ { "admin_port", "TCP port of the administration API" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadPort(aText), aOut.mAdminPort);
            } },
  FieldRow{ { "admin_address",
              "IP address of the administration API; address by default" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadAddress(aText), aOut.mAdminAddress);
            } },
  FieldRow{ { "store", "Addresses of the store, IP:PORT" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(netutil::ParseEndpoints(aText), aOut.mStore);
            } },
  FieldRow{ { "store_prefix", "Prefix of this deployment's keys in the store" },
            [](BootSettings& aOut, std::string_view aText) -> Result<void> {
              if (!aText.starts_with('/') || !aText.ends_with('/')) {
                return InvalidArgumentError("'" + std::string(aText) +
                                            "' must start and end with '/'");
              }
              aOut.mStorePrefix = aText;
              return {};
            } },
  FieldRow{ { "vm_list", "URL of the platform's VM list; none by default" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(ReadVmList(aText), aOut.mVmList);
            } },
  FieldRow{ { "seeds", "Peer addresses to contact at startup, IP:PORT" },
            [](BootSettings& aOut, std::string_view aText) {
              return Assign(netutil::ParseEndpoints(aText), aOut.mSeeds);
            } },
  FieldRow{ { "settings", "File with the initial settings; none by default" },
            [](BootSettings& aOut, std::string_view aText) -> Result<void> {
              aOut.mSettingsFile = aText;
              return {};
            } },
  FieldRow{ { "peer_secret_file",
              "File with secrets authenticating peers; none by default" },
            [](BootSettings& aOut, std::string_view aText) -> Result<void> {
              aOut.mPeerSecretFile = aText;
              return {};
            } },
  FieldRow{ { "log", "Directory for log files; standard error by default" },
            [](BootSettings& aOut, std::string_view aText) -> Result<void> {
              aOut.mLogDirectory = aText;
              return {};
            } },
};

/// Text of a scalar, or the texts of a sequence's elements, separated by
/// commas.
std::string TextOf(const YAML::Node& aNode)
{
  if (!aNode.IsSequence()) {
    return aNode.as<std::string>();
  }
  std::string text;
  for (const YAML::Node& element : aNode) {
    text += text.empty() ? "" : ",";
    text += element.as<std::string>();
  }
  return text;
}

std::string LineOf(const YAML::Mark& aMark)
{
  return "line " + std::to_string(aMark.line + 1);
}

Result<void> ReadField(const YAML::Node& aKey,
                       const YAML::Node& aValue,
                       BootSettings& aSettings)
{
  const auto set =
    SetBootField(aSettings, aKey.as<std::string>(), TextOf(aValue));
  if (!set) {
    return InvalidArgumentError(LineOf(aKey.Mark()) + ": " +
                                set.error().mMessage);
  }
  return {};
}

} // namespace

const std::vector<BootField>& BootFields()
{
  static const std::vector<BootField> sFields = [] {
    std::vector<BootField> fields;
    for (const FieldRow& row : kFields) {
      fields.push_back(row.mField);
    }
    return fields;
  }();
  return sFields;
}

Result<void> SetBootField(BootSettings& aSettings,
                          std::string_view aName,
                          std::string_view aText)
{
  for (const FieldRow& row : kFields) {
    if (row.mField.mName != aName) {
      continue;
    }
    const Result<void> set = row.mSet(aSettings, aText);
    if (!set) {
      return InvalidArgumentError(std::string(aName) + ": " +
                                  set.error().mMessage);
    }
    return {};
  }
  return InvalidArgumentError("unknown field '" + std::string(aName) + "'");
}

Result<void> ReadBootFile(std::string_view aText, BootSettings& aSettings)
{
  try {
    const YAML::Node document = YAML::Load(std::string(aText));
    if (!document.IsMap()) {
      return InvalidArgumentError("a boot file must be a YAML map of fields");
    }
    for (const auto& pair : document) {
      const auto read = ReadField(pair.first, pair.second, aSettings);
      if (!read) {
        return read;
      }
    }
  } catch (const YAML::Exception& e) {
    return InvalidArgumentError(LineOf(e.mark) + ": " + e.msg);
  }
  return {};
}

Result<void> CompleteBootSettings(BootSettings& aSettings)
{
  std::string missing;
  const auto require = [&missing](std::string_view aName, bool aIsMissing) {
    if (aIsMissing) {
      missing += missing.empty() ? "" : ", ";
      missing += aName;
    }
  };
  require("vm", aSettings.mVm.IsEmpty());
  require("region", aSettings.mRegion.IsEmpty());
  require("failure_domain", aSettings.mFailureDomain.IsEmpty());
  require("address", aSettings.mAddress.empty());
  require("caller_port", aSettings.mCallerPort == 0);
  require("peer_port", aSettings.mPeerPort == 0);
  require("admin_port", aSettings.mAdminPort == 0);
  require("store", aSettings.mStore.empty());
  if (!missing.empty()) {
    return InvalidArgumentError("missing: " + missing);
  }
  if (aSettings.mSite.IsEmpty()) {
    aSettings.mSite = SiteId(aSettings.mRegion.mName);
  }
  if (aSettings.mAdminAddress.empty()) {
    aSettings.mAdminAddress = aSettings.mAddress;
  }
  return {};
}

} // namespace cranberrywing::daemon
