/// \file
/// Graceful shutdown of this VM: the stages of a drain (design 3.9).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "cranberrywing/effect.h"

namespace cranberrywing {

enum class DrainStage : std::uint8_t
{
  /// Normal operation; no drain has started.
  Serving,
  /// Announced as leaving, but still serving callers with cached lookups.
  Linger,
  /// Handing slots and shares over to other VMs.
  Handover,
  /// Waiting for the requests in flight.
  Finish,
  Exited,
};

/// Callbacks of DrainController to other components.
struct DrainHooks
{
  /// Announces to peers that this VM leaves. aFinal: it is about to exit.
  std::function<void(bool aFinal, TimePoint, EffectList&)> mLeave;
  std::function<void(TimePoint, EffectList&)> mStartHandover;
  std::function<bool()> mIsHandedOver;
  /// Number of requests in flight.
  std::function<std::size_t()> mInFlight;
  /// Refuses all requests in flight, so that no caller's connection is closed
  /// without an answer.
  std::function<void(EffectList&)> mRefuseRemaining;
};

/// Drives a drain through its stages. Not thread-safe; owned by the reducer.
class DrainController
{
public:
  explicit DrainController(DrainHooks aHooks);

  /// Starts a drain; no effect if one has started. aLookupLifetime: how long
  /// callers may use a lookup that names this VM. aLongestDeadline: the longest
  /// time that a request may take.
  void Start(Duration aLookupLifetime,
             Duration aLongestDeadline,
             TimePoint aNow,
             EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  DrainStage Stage() const { return mStage; }
  /// Whether callers' connections are to be closed after each answer.
  bool ClosesConnections() const;
  /// Latest deadline that a request may have; nullopt while serving.
  std::optional<TimePoint> LatestDeadline() const;

private:
  DrainHooks mHooks;
  DrainStage mStage = DrainStage::Serving;
  TimePoint mLingerEnd{};
  TimePoint mHandoverEnd{};
  TimePoint mFinishEnd{};
};

} // namespace cranberrywing
