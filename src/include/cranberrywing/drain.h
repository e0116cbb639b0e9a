/// \file
/// Stages of this VM's planned stop (design 3.9).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "cranberrywing/effect.h"

namespace cranberrywing {

enum class DrainStage : std::uint8_t
{
  Serving,
  Linger,
  Handover,
  Finish,
  Exited,
};

struct DrainHooks
{
  std::function<void(bool aFinal, TimePoint, EffectList&)> mLeave;
  std::function<void(TimePoint, EffectList&)> mStartHandover;
  std::function<bool()> mIsHandedOver;
  /// Number of callers' requests in flight.
  std::function<std::size_t()> mInFlight;
  /// Answers what is still in flight, so that no caller's connection ends
  /// without an answer.
  std::function<void(EffectList&)> mRefuseRemaining;
};

/// Not thread-safe; owned by the reducer.
class DrainController
{
public:
  explicit DrainController(DrainHooks aHooks);

  void Start(Duration aLookupLifetime,
             Duration aLongestDeadline,
             TimePoint aNow,
             EffectList& aOut);
  void Tick(TimePoint aNow, EffectList& aOut);
  DrainStage Stage() const { return mStage; }
  /// Whether answers should close the caller's connection.
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
