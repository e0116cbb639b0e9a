#include "cranberrywing/keys.h"

#include <openssl/crypto.h>
#include <optional>

#include "keyed_mac.h"

namespace cranberrywing {

namespace {

/// Length of the digest prefix that indexes the table. The full digest is then
/// compared in constant time. The timing of the index lookup could reveal the
/// prefix of an HMAC under a secret pepper, which reveals nothing about any
/// key.
constexpr std::size_t kIndexLength = 16;

std::string ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t n = 0; n < aSize; ++n) {
    text += kDigits[aBytes[n] >> 4];
    text += kDigits[aBytes[n] & 15];
  }
  return text;
}

bool IsEqual(const KeyDigest& aLeft, const KeyDigest& aRight)
{
  return !aLeft.mHex.empty() && aLeft.mHex.size() == aRight.mHex.size() &&
         CRYPTO_memcmp(
           aLeft.mHex.data(), aRight.mHex.data(), aLeft.mHex.size()) == 0;
}

std::string IndexOf(const KeyDigest& aDigest)
{
  return aDigest.mHex.substr(0, kIndexLength);
}

/// Never zero, since zero means that the tag is unknown.
std::uint64_t TagOf(const KeyDigest& aDigest)
{
  return HashBytes(aDigest.mHex) | 1;
}

std::string NameOf(const CallerIdentity& aIdentity)
{
  return aIdentity.mAccount.mName + '\n' + aIdentity.mKeyName;
}

} // namespace

namespace detail {

/// Computes digests with a fixed pepper.
class KeyDigester
{
public:
  explicit KeyDigester(std::string_view aPepper)
    : mMac(aPepper)
  {
  }

  /// Returns an empty digest, which matches no key, if the crypto library
  /// fails.
  KeyDigest Digest(std::string_view aKey)
  {
    const std::optional<KeyedMac::Code> code = mMac.Compute(aKey);
    return { code ? ToHex(code->data(), code->size()) : std::string() };
  }

private:
  KeyedMac mMac;
};

} // namespace detail

KeyDigest DigestKey(std::string_view aKey, std::string_view aPepper)
{
  return detail::KeyDigester(aPepper).Digest(aKey);
}

void KeyTable::Apply(const SettingsSnapshot& aSettings)
{
  mDigester =
    std::make_shared<detail::KeyDigester>(aSettings.mFleet.mKeyPepper);
  mEntries.clear();
  mValidTags.clear();
  for (const auto& [id, account] : aSettings.mAccounts) {
    for (const KeySettings& key : account.mKeys) {
      const CallerIdentity identity{ .mAccount = id,
                                     .mKeyName = key.mName,
                                     .mKeyTag = TagOf(key.mDigest) };
      if (!key.mWithdrawn) {
        mValidTags.emplace(NameOf(identity), identity.mKeyTag);
      }
      mEntries.emplace(IndexOf(key.mDigest),
                       Entry{ key.mDigest, identity, key.mWithdrawn });
    }
  }
}

Result<CallerIdentity> KeyTable::Identify(std::string_view aKey) const
{
  if (aKey.empty()) {
    return MakeError(ResultCode::KeyMissing, "the request carries no key");
  }
  const KeyDigest digest = mDigester ? mDigester->Digest(aKey) : KeyDigest();
  const auto [begin, end] = mEntries.equal_range(IndexOf(digest));
  for (auto it = begin; it != end; ++it) {
    const Entry& entry = it->second;
    if (!IsEqual(entry.mDigest, digest)) {
      continue;
    }
    if (entry.mWithdrawn) {
      return MakeError(ResultCode::KeyWithdrawn, "the key was withdrawn");
    }
    return entry.mIdentity;
  }
  return MakeError(ResultCode::KeyUnknown, "the key is not known");
}

bool KeyTable::IsValid(const CallerIdentity& aIdentity) const
{
  // Requests to routes that are open to all have neither account nor key.
  if (aIdentity.mAccount.IsEmpty() && aIdentity.mKeyName.empty()) {
    return true;
  }
  const auto it = mValidTags.find(NameOf(aIdentity));
  if (it == mValidTags.end()) {
    return false;
  }
  // A key whose name now belongs to another key counts as withdrawn.
  return aIdentity.mKeyTag == 0 || aIdentity.mKeyTag == it->second;
}

} // namespace cranberrywing
