/// \file
/// The decision core: one deterministic reducer over all events. It reads no
/// clock, opens no socket and writes no log; drivers do that by carrying out
/// its effects.
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
#include "cranberrywing/share_ledger.h"
#include "cranberrywing/shifts.h"
#include "cranberrywing/slots.h"
#include "cranberrywing/steering.h"

namespace cranberrywing {

/// Owns one of each concern and delivers events to them; nothing else.
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
    /// First contacts.
    std::vector<VmSettings> mSeeds;
    /// Settings in force until the store or a peer has some; may be empty.
    std::string mInitialDocument;
    std::string mStorePrefix = "/cw/";
    std::uint64_t mSeed = 1;
    SelectionPolicy mSelection = SelectionPolicy::TwoChoices;
    bool mTokenTransfers = true;
  };

  explicit Reducer(Options aOptions);
  ~Reducer();
  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;

  /// Puts the initial settings in force and starts reading the store.
  /// Precondition: called once, before Reduce.
  EffectList Start(TimePoint aNow, std::int64_t aWallSeconds);

  /// Precondition: aNow never decreases. aWallSeconds is Unix time and is
  /// used for the expiry of claims and tickets only.
  EffectList Reduce(const Event& aEvent,
                    TimePoint aNow,
                    std::int64_t aWallSeconds);

  /// For the administration API's reads, metrics and explanations.
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

  /// Replaces the client-block table, which the driver builds off the
  /// reducer's thread because that takes long at 1.2 million blocks.
  void SetClientBlocks(std::shared_ptr<const ClientBlockTable> aBlocks);

private:
  class State;
  std::unique_ptr<State> mState;
};

} // namespace cranberrywing
