/// \file
/// A caller's lookups: the VMs to use, kept for the answer's lifetime.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "netutil/http_pool.h"
#include "standins/load/load_options.h"

namespace cranberrywing::standins {

struct LookupResult
{
  std::vector<netutil::Endpoint> mVms;
  Duration mLifetime{};
  /// Empty if none was wanted or another VM issues it.
  std::string mTicket;
  std::optional<netutil::Endpoint> mTicketVm;
};

/// Reads the answer of /v1/lookup or /v1/tickets. Errors: Malformed.
/// Thread-safe.
Result<LookupResult> DecodeLookup(std::string_view aBody);

/// Not thread-safe; belongs to the event loop's thread.
class LookupCache
{
public:
  using Handler = std::function<void(const std::vector<netutil::Endpoint>&)>;

  /// aOptions and aPool outlive the cache.
  LookupCache(const LoadOptions& aOptions, netutil::HttpClientPool& aPool);

  /// Gives the VMs in order of preference, from the cache or by a lookup; an
  /// empty list if no daemon answers. Called later or at once.
  void Get(Handler aHandler);
  /// A VM failed: the next Get asks again.
  void Expire();
  /// The daemons in turn, starting with the one that answered last.
  netutil::Endpoint Daemon(std::size_t aAttempt) const;
  std::uint64_t Lookups() const { return mLookups; }

private:
  void Ask(std::size_t aAttempt);
  void OnAnswer(std::size_t aAttempt, const netutil::ExchangeResult& aResult);
  void Finish();

  const LoadOptions& mOptions;
  netutil::HttpClientPool& mPool;
  std::vector<netutil::Endpoint> mVms;
  std::chrono::steady_clock::time_point mValidUntil{};
  std::vector<Handler> mWaiting;
  std::size_t mPreferred = 0;
  std::uint64_t mLookups = 0;
};

/// Target of a lookup. Thread-safe.
std::string LookupTarget(const LoadOptions& aOptions, bool aWantsTicket);

} // namespace cranberrywing::standins
