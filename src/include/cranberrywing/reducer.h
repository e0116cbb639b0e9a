/// \file
/// The decision core: a deterministic reducer that maps events to effects. It
/// reads no clock, opens no socket and writes no log; drivers do that by
/// executing its effects.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cranberrywing/backend_health.h"
#include "cranberrywing/backend_selector.h"
#include "cranberrywing/configuration.h"
#include "cranberrywing/crash_guard.h"
#include "cranberrywing/drain.h"
#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"
#include "cranberrywing/executions.h"
#include "cranberrywing/fair_queue.h"
#include "cranberrywing/keys.h"
#include "cranberrywing/membership.h"
#include "cranberrywing/offers.h"
#include "cranberrywing/rate_limiter.h"
#include "cranberrywing/requests.h"
#include "cranberrywing/retry_policy.h"
#include "cranberrywing/server_reach.h"
#include "cranberrywing/share_ledger.h"
#include "cranberrywing/shifts.h"
#include "cranberrywing/slots.h"
#include "cranberrywing/steering.h"

namespace cranberrywing {

/// Owns the components of the core and dispatches events to them.
///
/// Not thread-safe: a driver calls it from one thread. Equal options, events
/// and times give equal effects.
class Reducer
{
public:
  struct Options
  {
    /// This VM's process, addresses, region and failure domain.
    MemberUpdate mSelf;
    /// VMs to contact first in order to join the membership.
    std::vector<VmSettings> mSeeds;
    /// Settings that are active until some are received from the store or a
    /// peer; may be empty.
    std::string mInitialDocument;
    std::string mStorePrefix = "/cw/";
    std::uint64_t mSeed = 1;
    SelectionPolicy mSelection = SelectionPolicy::TwoChoices;
    /// Whether VMs lend rate tokens to each other.
    bool mTokenTransfers = true;
  };

  explicit Reducer(Options aOptions);
  ~Reducer();
  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;

  /// Applies the initial settings and starts reading the store.
  /// Precondition: called once, before Reduce.
  EffectList Start(TimePoint aNow, std::int64_t aWallSeconds);

  /// Processes one event and returns its effects in order. aWallSeconds is Unix
  /// time and is only used for the expiry of claims and tickets.
  /// Precondition: aNow does not decrease from call to call.
  EffectList Reduce(const Event& aEvent,
                    TimePoint aNow,
                    std::int64_t aWallSeconds);

  /// Read access to the components, for the administration API and metrics.
  const Configuration& GetConfiguration() const;
  const Membership& GetMembership() const;
  const BackendHealth& GetHealth() const;
  const BackendSelector& GetSelector() const;
  const RateLimiter& GetRates() const;
  const ShareLedger& GetShares() const;
  const SlotTable& GetSlots() const;
  const FairQueue& GetQueue() const;
  const OfferBook& GetOffers() const;
  const ShiftController& GetShifts() const;
  const RequestPipeline& GetRequests() const;
  const DrainController& GetDrain() const;
  const Steering& GetSteering() const;
  const Executions& GetExecutions() const;
  const ServerReach& GetServerReach() const;

  /// Replaces the table of client address blocks. The driver builds it on
  /// another thread, since building a table of 1.2 million blocks takes long.
  void SetClientBlocks(std::shared_ptr<const ClientBlockTable> aBlocks);

private:
  class State;
  std::unique_ptr<State> mState;
};

} // namespace cranberrywing
