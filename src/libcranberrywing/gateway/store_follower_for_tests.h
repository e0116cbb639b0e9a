/// \file
/// Test fixture: a store follower whose calls of the store the test answers.
#pragma once

#include <catch2/catch.hpp>
#include <optional>

#include "cranberrywing/gateway/store_follower.h"
#include "cranberrywing/parse_number.h"

namespace cranberrywing::gateway::testing {

/// Reads values such as "5" and "5.2" as their writer's versions; nullopt for
/// other values.
inline std::optional<WriterVersion> ReadVersion(const StoreItem& aItem)
{
  const std::string_view text(aItem.mValue);
  const auto dot = text.find('.');
  const auto major = ParseNumber<std::int64_t>(text.substr(0, dot));
  const auto minor = dot == std::string_view::npos
                       ? std::optional<std::int64_t>(0)
                       : ParseNumber<std::int64_t>(text.substr(dot + 1));
  return major && minor ? std::optional(WriterVersion{ *major, *minor })
                        : std::nullopt;
}

/// Entries of servers are bound to leases, and values have versions
/// (ReadVersion). Not thread-safe.
class FollowerFixture
{
public:
  FollowerFixture()
    : mFollower(
        StoreFollower::Options{ .mOwnKey = "vms/a",
                                .mOwnValue = "me",
                                .mRosterKey = "roster/a" },
        StoreFollowerHooks{
          .mCall =
            [this](StoreChannel aChannel, const StoreCall& aCall, Duration) {
              (aChannel == StoreChannel::Follow ? mFollow : mLease) = aCall;
            },
          .mOnChange = [this](const StoreChange& aChange) { Keep(aChange); },
          .mOnListingComplete = [this] { ++mCompleted; },
          .mOnReachabilityChange =
            [this](bool aIsReachable) { mIsReachable = aIsReachable; },
          .mOnRestored = [this](const StoreRestore&) { ++mRestores; },
          .mOnOutdatedWrite = [this](const StoreItem&) { ++mOutdated; },
          .mIsLeaseBound =
            [](const std::string& aKey) {
              return aKey.starts_with("servers/");
            },
          .mIsKept =
            [](const std::string& aKey) { return !aKey.starts_with("vms/"); },
          .mVersion = ReadVersion })
  {
    mFollower.Start(mNow);
  }

  /// Advances the time.
  void Advance(Duration aTime)
  {
    mNow += aTime;
    mFollower.Tick(mNow);
  }

  /// Answers the channel's call in progress.
  void Reply(StoreReply aReply, StoreChannel aChannel = StoreChannel::Follow)
  {
    auto& call = aChannel == StoreChannel::Follow ? mFollow : mLease;
    REQUIRE(call.has_value());
    call.reset();
    mFollower.OnReply(aChannel, aReply, mNow);
  }

  bool IsListing() const
  {
    return mFollow && std::holds_alternative<store_call::ListPage>(*mFollow);
  }

  /// Value in force; "-" if the key is not set.
  std::string Value(const std::string& aKey) const
  {
    const auto it = mValues.find(aKey);
    return it == mValues.end() ? "-" : it->second;
  }

  int Removals() const
  {
    int n = 0;
    for (const StoreChange& change : mChanges) {
      n += change.mIsRemoved ? 1 : 0;
    }
    return n;
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  std::optional<StoreCall> mFollow;
  std::optional<StoreCall> mLease;
  /// Delivered changes, in order.
  std::vector<StoreChange> mChanges;
  int mCompleted = 0;
  int mRestores = 0;
  /// Number of outdated writes that were reported.
  int mOutdated = 0;
  bool mIsReachable = false;
  StoreFollower mFollower;

private:
  void Keep(const StoreChange& aChange)
  {
    mChanges.push_back(aChange);
    if (aChange.mIsRemoved) {
      mValues.erase(aChange.mItem.mKey);
    } else {
      mValues[aChange.mItem.mKey] = aChange.mItem.mValue;
    }
  }

  std::map<std::string, std::string> mValues;
};

} // namespace cranberrywing::gateway::testing
