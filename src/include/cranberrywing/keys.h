/// \file
/// Maps callers' keys to client accounts without keeping any key.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "cranberrywing/result_code.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

/// Digest under which a key is stored: HMAC-SHA-256 of the key under the
/// fleet's pepper. Thread-safe.
KeyDigest DigestKey(std::string_view aKey, std::string_view aPepper);

/// Who a request runs for.
struct CallerIdentity
{
  AccountId mAccount;
  /// Public name of the key; empty for routes open to all.
  std::string mKeyName;

  bool operator==(const CallerIdentity&) const = default;
};

/// Not thread-safe; owned by the reducer.
class KeyTable
{
public:
  /// Replaces the table by the keys of a configuration.
  void Apply(const SettingsSnapshot& aSettings);

  /// The identity of a presented key. Errors: KeyMissing for an empty key,
  /// KeyUnknown, KeyWithdrawn. Error texts never hold the key. Digests are
  /// compared in constant time.
  Result<CallerIdentity> Identify(std::string_view aKey) const;

  /// Whether a key that was accepted earlier still is.
  bool IsValid(const CallerIdentity& aIdentity) const;

private:
  struct Entry
  {
    KeyDigest mDigest;
    CallerIdentity mIdentity;
    bool mWithdrawn = false;
  };

  std::string mPepper;
  std::unordered_map<std::string, Entry> mEntries;
  std::unordered_map<std::string, bool> mValidNames;
};

} // namespace cranberrywing
