#include "cranberrywingd/gateway_settings.h"

#include <charconv>
#include <cmath>
#include <yaml-cpp/yaml.h>

#include "cranberrywing/parse_number.h"

namespace cranberrywing::daemon {

namespace {

/// Reads the fields of one YAML map and keeps the first error.
class FieldReader
{
public:
  explicit FieldReader(YAML::Node aNode)
    : mNode(std::move(aNode))
  {
  }

  /// Reads a scalar. aValue stays unchanged if the field is absent or empty.
  template<class Value>
  void Read(const char* aName, Value& aValue, bool aIsRequired)
  {
    const YAML::Node node = mNode[aName];
    if (!node || !node.IsScalar() || node.Scalar().empty()) {
      if (aIsRequired) {
        SetFirstError(aName, "is missing");
      }
      return;
    }
    const auto result = Convert(node.Scalar(), aValue);
    if (!result) {
      SetFirstError(aName, result.error().mMessage);
    }
  }

  /// Reads an optional finite number above 0. aValue stays unchanged if the
  /// field is absent or empty.
  void ReadPositive(const char* aName, double& aValue)
  {
    std::string text;
    Read(aName, text, false);
    if (text.empty()) {
      return;
    }
    const auto number = ParseNumber<double>(text);
    if (!number || !std::isfinite(*number) || *number <= 0) {
      SetFirstError(aName, "is not a finite number above 0: " + text);
      return;
    }
    aValue = *number;
  }

  void ReadRegions(const char* aName,
                   std::map<FailureDomainId, RegionId>& aValue)
  {
    const YAML::Node node = mNode[aName];
    if (!node || !node.IsMap()) {
      SetFirstError(aName, "must be a map");
      return;
    }
    for (const auto& entry : node) {
      aValue.emplace(FailureDomainId(entry.first.Scalar()),
                     RegionId(entry.second.Scalar()));
    }
  }

  const std::optional<Error>& FirstError() const { return mError; }

private:
  template<class Tag>
  static Result<void> Convert(const std::string& aText, Id<Tag>& aValue)
  {
    aValue = Id<Tag>(aText);
    return {};
  }

  static Result<void> Convert(const std::string& aText, std::string& aValue)
  {
    aValue = aText;
    return {};
  }

  static Result<void> Convert(const std::string& aText,
                              netutil::Endpoint& aValue)
  {
    const auto endpoint = netutil::ParseEndpoint(aText);
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    aValue = *endpoint;
    return {};
  }

  static Result<void> Convert(const std::string& aText, Duration& aValue)
  {
    const auto duration = ParseDuration(aText);
    if (!duration) {
      return tl::unexpected(duration.error());
    }
    aValue = *duration;
    return {};
  }

  static Result<void> Convert(const std::string& aText, Milliseconds& aValue)
  {
    Duration duration{};
    const auto result = Convert(aText, duration);
    aValue = std::chrono::ceil<Milliseconds>(duration);
    return result;
  }

  static Result<void> Convert(const std::string& aText, double& aValue)
  {
    const auto number = ParseNumber<double>(aText);
    if (!number || !(*number >= 0)) {
      return MakeError(ResultCode::InvalidSettings,
                       "is not a non-negative number: " + aText);
    }
    aValue = *number;
    return {};
  }

  static Result<void> Convert(const std::string& aText, std::size_t& aValue)
  {
    const auto number = ParseNumber<std::uint64_t>(aText);
    if (!number) {
      return MakeError(ResultCode::InvalidSettings,
                       "is not a whole number: " + aText);
    }
    aValue = *number;
    return {};
  }

  void SetFirstError(const char* aName, const std::string& aReason)
  {
    if (!mError) {
      mError = Error{ ResultCode::InvalidSettings,
                      std::string(aName) + " " + aReason };
    }
  }

  YAML::Node mNode;
  std::optional<Error> mError;
};

constexpr std::size_t kMegabyte = 1024UL * 1024;

} // namespace

Result<Duration> ParseDuration(std::string_view aText)
{
  double number = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  const std::string_view unit(end, static_cast<std::size_t>(last - end));
  const bool isKnown = unit == "ms" || unit == "s";
  // The upper bound prevents overflow of 64-bit nanoseconds.
  if (error != std::errc() || !isKnown || !(number >= 0) || number > 1e9) {
    return MakeError(ResultCode::InvalidSettings,
                     "is not a duration such as 1500ms or 2.5s: " +
                       std::string(aText));
  }
  const double seconds = unit == "s" ? number : number / 1000;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

Result<GatewaySettings> ReadGatewaySettings(const std::string& aText)
{
  YAML::Node document;
  try {
    document = YAML::Load(aText);
  } catch (const YAML::Exception& e) {
    return MakeError(ResultCode::InvalidSettings, e.what());
  }
  if (!document.IsMap()) {
    return MakeError(ResultCode::InvalidSettings,
                     "the settings file is not a YAML map");
  }
  GatewaySettings settings;
  FieldReader reader(document);
  reader.Read("vm", settings.mVm, true);
  reader.Read("region", settings.mRegion, true);
  reader.Read("failure_domain", settings.mFailureDomain, true);
  reader.Read("callers", settings.mCallers, true);
  reader.Read("readiness", settings.mReadiness, true);
  reader.Read("lookups", settings.mLookups, true);
  reader.Read("peers", settings.mPeers, true);
  reader.Read("metrics", settings.mMetrics, false);
  reader.Read("store", settings.mStore, true);
  reader.Read("lease_ttl_min", settings.mLeaseTtlMin, false);
  reader.ReadRegions("regions", settings.mRegions);
  reader.Read("lookup_lifetime_max", settings.mLookupLifetimeMax, false);
  reader.Read("stop_limit", settings.mStopLimit, false);
  reader.Read("retry_ratio", settings.mRetryRatio, false);
  reader.Read("retry_allowance", settings.mRetryAllowance, false);
  reader.Read("retry_window", settings.mRetryWindow, false);
  reader.Read("cold_overshoot", settings.mColdOvershoot, false);
  reader.Read("cold_slack", settings.mColdSlack, false);
  reader.Read("max_shift", settings.mMaxShift, false);
  reader.ReadPositive("link_mbps", settings.mLinkMbps);
  reader.Read("file_limit", settings.mFileLimit, false);
  std::size_t memoryMegabytes = settings.mMemoryLimit / kMegabyte;
  reader.Read("memory_limit_mb", memoryMegabytes, false);
  settings.mMemoryLimit = memoryMegabytes * kMegabyte;
  if (reader.FirstError()) {
    return tl::unexpected(*reader.FirstError());
  }
  return settings;
}

} // namespace cranberrywing::daemon
