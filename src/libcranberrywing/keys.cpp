#include "cranberrywing/keys.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

namespace cranberrywing {

namespace {

/// Characters of a digest that index the table. They narrow the search, and
/// the whole digest is then compared in constant time. Timing could tell an
/// observer the beginning of an HMAC under a secret pepper, which says nothing
/// about any key.
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

/// Never zero, which means that the tag is not known.
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

/// Computes digests under one pepper. Setting up HMAC takes most of the time
/// of a digest, so it is done once per pepper.
class KeyDigester
{
public:
  explicit KeyDigester(std::string_view aPepper)
    : mMac(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
    , mContext(EVP_MAC_CTX_new(mMac.get()))
  {
    std::string digest = "SHA256";
    const std::array parameters{ OSSL_PARAM_construct_utf8_string(
                                   "digest", digest.data(), 0),
                                 OSSL_PARAM_construct_end() };
    // An empty key is given as such: a null one would mean "the last key".
    const auto* pepper = reinterpret_cast<const unsigned char*>(
      aPepper.empty() ? "" : aPepper.data());
    mUsable = EVP_MAC_init(
                mContext.get(), pepper, aPepper.size(), parameters.data()) == 1;
  }

  /// An empty digest, which matches no key, if the library fails.
  KeyDigest Digest(std::string_view aKey)
  {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    std::size_t size = 0;
    const auto* key = reinterpret_cast<const unsigned char*>(aKey.data());
    const bool isDone =
      mUsable && EVP_MAC_init(mContext.get(), nullptr, 0, nullptr) == 1 &&
      EVP_MAC_update(mContext.get(), key, aKey.size()) == 1 &&
      EVP_MAC_final(mContext.get(), bytes.data(), &size, bytes.size()) == 1;
    return { isDone ? ToHex(bytes.data(), size) : std::string() };
  }

private:
  struct Free
  {
    void operator()(EVP_MAC* aMac) const { EVP_MAC_free(aMac); }
    void operator()(EVP_MAC_CTX* aContext) const { EVP_MAC_CTX_free(aContext); }
  };

  std::unique_ptr<EVP_MAC, Free> mMac;
  std::unique_ptr<EVP_MAC_CTX, Free> mContext;
  bool mUsable = false;
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
  // Routes open to all run for no account and depend on no key.
  if (aIdentity.mAccount.IsEmpty() && aIdentity.mKeyName.empty()) {
    return true;
  }
  const auto it = mValidTags.find(NameOf(aIdentity));
  if (it == mValidTags.end()) {
    return false;
  }
  // A key that was replaced under its name counts as withdrawn.
  return aIdentity.mKeyTag == 0 || aIdentity.mKeyTag == it->second;
}

} // namespace cranberrywing
