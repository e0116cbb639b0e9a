#include "cranberrywing/keys.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cranberrywing {

namespace {

/// Characters of a digest that index the table. The index narrows the search
/// to one entry; the whole digest is then compared in constant time. What a
/// timing observer could learn is a prefix of an HMAC under a secret pepper,
/// which says nothing about any key.
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
  return aLeft.mHex.size() == aRight.mHex.size() &&
         CRYPTO_memcmp(
           aLeft.mHex.data(), aRight.mHex.data(), aLeft.mHex.size()) == 0;
}

std::string IndexOf(const KeyDigest& aDigest)
{
  return aDigest.mHex.substr(0, kIndexLength);
}

std::string ValidName(const CallerIdentity& aIdentity)
{
  return aIdentity.mAccount.mName + '\n' + aIdentity.mKeyName;
}

} // namespace

KeyDigest DigestKey(std::string_view aKey, std::string_view aPepper)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aPepper.data(),
       static_cast<int>(aPepper.size()),
       reinterpret_cast<const unsigned char*>(aKey.data()),
       aKey.size(),
       digest.data(),
       &size);
  return { ToHex(digest.data(), size) };
}

void KeyTable::Apply(const SettingsSnapshot& aSettings)
{
  mPepper = aSettings.mFleet.mKeyPepper;
  mEntries.clear();
  mValidNames.clear();
  for (const auto& [id, account] : aSettings.mAccounts) {
    for (const KeySettings& key : account.mKeys) {
      const Entry entry{ .mDigest = key.mDigest,
                         .mIdentity = { id, key.mName },
                         .mWithdrawn = key.mWithdrawn };
      mEntries.insert_or_assign(IndexOf(key.mDigest), entry);
      mValidNames.insert_or_assign(ValidName(entry.mIdentity), !key.mWithdrawn);
    }
  }
}

Result<CallerIdentity> KeyTable::Identify(std::string_view aKey) const
{
  if (aKey.empty()) {
    return MakeError(ResultCode::KeyMissing, "the request carries no key");
  }
  const KeyDigest digest = DigestKey(aKey, mPepper);
  const auto it = mEntries.find(IndexOf(digest));
  if (it == mEntries.end() || !IsEqual(it->second.mDigest, digest)) {
    return MakeError(ResultCode::KeyUnknown, "the key is not known");
  }
  if (it->second.mWithdrawn) {
    return MakeError(ResultCode::KeyWithdrawn, "the key was withdrawn");
  }
  return it->second.mIdentity;
}

bool KeyTable::IsValid(const CallerIdentity& aIdentity) const
{
  // Routes open to all run for no account and depend on no key.
  if (aIdentity.mAccount.IsEmpty() && aIdentity.mKeyName.empty()) {
    return true;
  }
  const auto it = mValidNames.find(ValidName(aIdentity));
  return it != mValidNames.end() && it->second;
}

} // namespace cranberrywing
