#include "cranberrywing/gateway/policy.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <openssl/sha.h>

namespace cranberrywing::gateway {

namespace {

std::string NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.rfind(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return host;
}

Result<void> ValidateRoute(
  const RoutePolicy& aRoute,
  const std::unordered_map<ServiceId, std::size_t>& aServices)
{
  const auto invalid = [&](const std::string& aReason) {
    return MakeError(ResultCode::InvalidSettings,
                     "route " + aRoute.mRoute.mName + ": " + aReason);
  };
  if (aRoute.mPrefix.empty() || aRoute.mPrefix.front() != '/' ||
      aRoute.mPrefix.back() != '/') {
    return invalid("the path prefix must begin and end with a slash");
  }
  if (aRoute.mTimeout <= Duration::zero()) {
    return invalid("the timeout must be positive");
  }
  if (aRoute.mServices.empty()) {
    return invalid("no service is given");
  }
  double weights = 0;
  for (const WeightedService& part : aRoute.mServices) {
    if (!aServices.contains(part.mService)) {
      return invalid("service " + part.mService.mName + " does not exist");
    }
    if (part.mWeight < 0) {
      return invalid("the weight of a service is negative");
    }
    weights += part.mWeight;
  }
  return weights > 0 ? Result<void>()
                     : invalid("the weights of all services are zero");
}

} // namespace

std::size_t Policy::KeyDigestHash::operator()(const KeyDigest& aDigest) const
{
  std::size_t hash = 0;
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

Policy::KeyDigest Policy::DigestKey(std::string_view aKey)
{
  KeyDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  return digest;
}

Policy::Policy(PolicyContent aContent)
  : mContent(std::move(aContent))
{
}

Result<PolicyPtr> Policy::Make(PolicyContent aContent)
{
  const std::shared_ptr<Policy> policy(new Policy(std::move(aContent)));
  const PolicyContent& content = policy->mContent;
  for (std::size_t n = 0; n < content.mServices.size(); ++n) {
    policy->mServiceIndex.emplace(content.mServices[n].mService, n);
  }
  for (std::size_t n = 0; n < content.mRoutes.size(); ++n) {
    const RoutePolicy& route = content.mRoutes[n];
    const auto checked = ValidateRoute(route, policy->mServiceIndex);
    if (!checked) {
      return tl::unexpected(checked.error());
    }
    policy->mRoutesByHost[NormalizeHost(route.mHost)].push_back(n);
  }
  for (auto& [host, routes] : policy->mRoutesByHost) {
    std::stable_sort(
      routes.begin(), routes.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return content.mRoutes[aLeft].mPrefix.size() >
               content.mRoutes[aRight].mPrefix.size();
      });
  }
  for (std::size_t n = 0; n < content.mAccounts.size(); ++n) {
    for (const std::string& key : content.mAccounts[n].mKeys) {
      const auto [it, isNew] = policy->mAccountByKey.emplace(DigestKey(key), n);
      if (!isNew && it->second != n) {
        return MakeError(
          ResultCode::InvalidSettings,
          "accounts " + content.mAccounts[it->second].mAccount.mName + " and " +
            content.mAccounts[n].mAccount.mName + " have an API key in common");
      }
    }
  }
  return policy;
}

const RoutePolicy* Policy::FindRoute(std::string_view aHost,
                                     std::string_view aPath) const
{
  const auto it = mRoutesByHost.find(NormalizeHost(aHost));
  if (it == mRoutesByHost.end()) {
    return nullptr;
  }
  for (const std::size_t n : it->second) {
    if (aPath.starts_with(mContent.mRoutes[n].mPrefix)) {
      return &mContent.mRoutes[n];
    }
  }
  return nullptr;
}

const AccountPolicy* Policy::FindAccountByKey(std::string_view aKey) const
{
  const auto it = mAccountByKey.find(DigestKey(aKey));
  return it == mAccountByKey.end() ? nullptr : &mContent.mAccounts[it->second];
}

const ServicePolicy* Policy::FindService(const ServiceId& aService) const
{
  const auto it = mServiceIndex.find(aService);
  return it == mServiceIndex.end() ? nullptr : &mContent.mServices[it->second];
}

} // namespace cranberrywing::gateway
