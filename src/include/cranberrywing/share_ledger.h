/// \file
/// Fractions of shared quantities, recorded in the store (design 3.3). The
/// fractions of one record never add up to more than the whole, whatever
/// messages are lost and however long a holder is paused.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Fractions are counted in millionths, so that sums are exact.
inline constexpr std::uint32_t kWholeShare = 1'000'000;

struct ShareLedgerHooks
{
  std::function<bool(const VmIncarnation&)> mIsDead;
  /// Number of VMs that hold or want the named share, this VM included.
  std::function<std::size_t(const std::string&)> mExpectedHolders;
};

/// Not thread-safe; owned by the reducer.
class ShareLedger
{
public:
  struct Options
  {
    VmIncarnation mSelf;
    std::string mStorePrefix = "/cw/shares/";
    std::uint64_t mSeed = 1;
    /// Time between looks at whether a fraction fits the demand.
    Duration mReviewInterval = std::chrono::seconds(30);
    Duration mRetryInterval = std::chrono::milliseconds(500);
  };

  ShareLedger(Options aOptions, ShareLedgerHooks aHooks);

  /// Starts to hold a fraction of the named quantity. Idempotent.
  void Want(const std::string& aName);
  /// Gives the fraction back. Idempotent.
  void Unwant(const std::string& aName);
  /// This process's fraction in millionths; zero until the store granted it.
  std::uint32_t Fraction(const std::string& aName) const;
  /// Tells the mean use of the fraction since the last call, where 1 is all
  /// of it; above 1 when more was wanted.
  void ReportUse(const std::string& aName, double aUse);

  void Tick(TimePoint aNow, EffectList& aOut);
  void OnStoreReply(const event::StoreReplied& aReply,
                    TimePoint aNow,
                    EffectList& aOut);
  /// Takes back what a dead process held.
  void OnDeath(const VmIncarnation& aProcess, TimePoint aNow, EffectList& aOut);
  /// Gives all fractions back, for a planned stop.
  void ReturnAll(TimePoint aNow, EffectList& aOut);
  bool IsReturned() const;

private:
  Options mOptions;
  ShareLedgerHooks mHooks;
};

} // namespace cranberrywing
