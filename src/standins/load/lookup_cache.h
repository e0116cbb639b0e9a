/// \file
/// Cache of lookup answers: the VMs to send to, kept for the lifetime that the
/// answer states.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "netutil/http_pool.h"
#include "standins/load/load_options.h"

namespace cranberrywing::standins {

/// Decoded answer of a lookup or of a ticket request.
struct LookupResult
{
  /// In order of preference.
  std::vector<netutil::Endpoint> mVms;
  Duration mLifetime{};
  /// Empty if no ticket was requested or another VM has to issue it.
  std::string mTicket;
  /// VM that issues the ticket, if it is another one.
  std::optional<netutil::Endpoint> mTicketVm;
};

/// Decodes the answer of /v1/lookup or /v1/tickets. Errors: Malformed.
/// Thread-safe.
Result<LookupResult> DecodeLookup(std::string_view aBody);

/// Answers from the cache or by a lookup; concurrent requests share one lookup.
/// Not thread-safe; use it on the event loop's thread only.
class LookupCache
{
public:
  using Handler = std::function<void(const std::vector<netutil::Endpoint>&)>;

  /// aOptions and aPool must outlive the cache.
  LookupCache(const LoadOptions& aOptions, netutil::HttpClientPool& aPool);

  /// Passes the VMs in order of preference to the handler, or an empty list if
  /// no daemon answers. The handler may be called before Get returns.
  void Get(Handler aHandler);
  /// Drops the cached answer, after a VM has failed; the next Get looks up
  /// again.
  void Expire();
  /// Daemon to use for attempt aAttempt: the daemons in turn, starting with the
  /// one that answered last.
  netutil::Endpoint Daemon(std::size_t aAttempt) const;
  /// Number of lookups sent so far.
  std::uint64_t Lookups() const { return mLookups; }

private:
  void SendLookup(std::size_t aAttempt);
  void OnAnswer(std::size_t aAttempt, const netutil::ExchangeResult& aResult);
  void Finish();

  const LoadOptions& mOptions;
  netutil::HttpClientPool& mPool;
  std::vector<netutil::Endpoint> mVms;
  std::chrono::steady_clock::time_point mValidUntil{};
  std::vector<Handler> mPendingHandlers;
  std::size_t mPreferred = 0;
  std::uint64_t mLookups = 0;
};

/// Request target (path and query) of a lookup. Thread-safe.
std::string LookupTarget(const LoadOptions& aOptions, bool aWantsTicket);

} // namespace cranberrywing::standins
