#include "cranberrywing/gateway/policy.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <openssl/sha.h>

namespace cranberrywing::gateway {

namespace {

/// Lower case, without the port. The address in brackets of an IPv6 host is
/// kept whole.
std::string NormalizeHost(std::string_view aHost)
{
  const std::size_t bracket = aHost.starts_with('[') ? aHost.find(']') : 0;
  const std::size_t colon = aHost.find(':', std::min(bracket, aHost.size()));
  const bool isBareIpv6 = bracket == 0 && colon != aHost.rfind(':');
  std::string host(isBareIpv6 ? aHost : aHost.substr(0, colon));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return host;
}

/// Returns what is wrong with a route; empty if nothing is.
std::string FindProblem(
  const RoutePolicy& aRoute,
  const std::unordered_map<ServiceId, std::size_t>& aServices)
{
  if (aRoute.mPrefix.empty() || aRoute.mPrefix.front() != '/' ||
      aRoute.mPrefix.back() != '/') {
    return "the path prefix must begin and end with a slash";
  }
  if (aRoute.mTimeout <= Duration::zero()) {
    return "the timeout must be positive";
  }
  if (aRoute.mServices.empty()) {
    return "no service is given";
  }
  double weights = 0;
  for (const WeightedService& part : aRoute.mServices) {
    if (!aServices.contains(part.mService)) {
      return "service '" + part.mService.mName + "' does not exist";
    }
    if (!(part.mWeight >= 0)) {
      return "the weight of a service is negative";
    }
    weights += part.mWeight;
  }
  return weights > 0 ? "" : "the weights of all services are zero";
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

PolicyPtr Policy::Make(PolicyContent aContent)
{
  const std::shared_ptr<Policy> policy(new Policy(std::move(aContent)));
  policy->IndexServicesAndRoutes();
  policy->IndexKeys();
  return policy;
}

void Policy::IndexServicesAndRoutes()
{
  for (std::size_t n = 0; n < mContent.mServices.size(); ++n) {
    mServiceIndex.emplace(mContent.mServices[n].mService, n);
  }
  for (std::size_t n = 0; n < mContent.mRoutes.size(); ++n) {
    RoutePolicy& route = mContent.mRoutes[n];
    const std::string problem = FindProblem(route, mServiceIndex);
    if (route.mIsUsable && !problem.empty()) {
      route.mIsUsable = false;
      mContent.mProblems.push_back("route " + route.mRoute.mName + ": " +
                                   problem);
    }
    mHasLargeAnswers =
      mHasLargeAnswers || (route.mIsUsable && route.mHasLargeAnswers);
    mRoutesByHost[NormalizeHost(route.mHost)].push_back(n);
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::stable_sort(
      routes.begin(), routes.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return mContent.mRoutes[aLeft].mPrefix.size() >
               mContent.mRoutes[aRight].mPrefix.size();
      });
  }
}

void Policy::IndexKeys()
{
  for (std::size_t n = 0; n < mContent.mAccounts.size(); ++n) {
    for (const std::string& key : mContent.mAccounts[n].mKeys) {
      const auto [it, isNew] = mAccountByKey.emplace(DigestKey(key), n);
      if (isNew || it->second == n) {
        continue;
      }
      AccountPolicy& other = mContent.mAccounts[it->second];
      AccountPolicy& account = mContent.mAccounts[n];
      other.mIsUsable = false;
      account.mIsUsable = false;
      mContent.mProblems.push_back("accounts " + other.mAccount.mName +
                                   " and " + account.mAccount.mName +
                                   " have an API key in common");
    }
  }
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
