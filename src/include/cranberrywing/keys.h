/// \file
/// Maps callers' API keys to client accounts. Stores only digests, never a key.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cranberrywing/result_code.h"
#include "cranberrywing/settings_snapshot.h"

namespace cranberrywing {

/// Computes the digest under which a key is stored: HMAC-SHA-256 of the key
/// under the fleet's pepper. Thread-safe.
KeyDigest DigestKey(std::string_view aKey, std::string_view aPepper);

/// The client account and key that a request was authenticated with.
struct CallerIdentity
{
  AccountId mAccount;
  /// Public name of the key; empty for routes open to all.
  std::string mKeyName;
  /// Distinguishes successive keys of one name; zero if unknown.
  std::uint64_t mKeyTag = 0;

  bool operator==(const CallerIdentity&) const = default;
};

namespace detail {
class KeyDigester;
}

/// Not thread-safe; owned by the reducer.
class KeyTable
{
public:
  /// Replaces the table with the keys of a configuration.
  void Apply(const SettingsSnapshot& aSettings);

  /// Returns the identity that a presented key belongs to. Errors: KeyMissing
  /// for an empty key, KeyUnknown, KeyWithdrawn. Error messages never contain
  /// the key. Digests are compared in constant time.
  Result<CallerIdentity> Identify(std::string_view aKey) const;

  /// Whether a key that was accepted earlier is still valid.
  bool IsValid(const CallerIdentity& aIdentity) const;

private:
  struct Entry
  {
    KeyDigest mDigest;
    CallerIdentity mIdentity;
    bool mWithdrawn = false;
  };

  /// Keyed with the pepper; null before the first Apply.
  std::shared_ptr<detail::KeyDigester> mDigester;
  /// Indexed by a prefix of the digest.
  std::unordered_multimap<std::string, Entry> mEntries;
  /// Tags of all keys that are not withdrawn, by account and key name.
  std::unordered_map<std::string, std::uint64_t> mValidTags;
};

} // namespace cranberrywing
