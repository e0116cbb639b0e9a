#include "cranberrywing/keys.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;

namespace {

int gCompares = 0;

SettingsSnapshot MakeSettings(bool aWithdrawn, std::string_view aKey = "secret")
{
  SettingsSnapshot settings;
  settings.mFleet.mKeyPepper = "pepper";
  AccountSettings account;
  account.mAccount = AccountId("shops");
  account.mKeys.push_back({ .mName = "k1",
                            .mDigest = DigestKey(aKey, "pepper"),
                            .mWithdrawn = aWithdrawn });
  settings.mAccounts.emplace(account.mAccount, account);
  return settings;
}

} // namespace

// Replaces OpenSSL's function in this program in order to observe its calls.
extern "C" int CRYPTO_memcmp(const void* aLeft, // NOLINT
                             const void* aRight,
                             std::size_t aSize)
{
  ++gCompares;
  const auto* left = static_cast<const unsigned char*>(aLeft);
  const auto* right = static_cast<const unsigned char*>(aRight);
  int difference = 0;
  for (std::size_t n = 0; n < aSize; ++n) {
    difference |= left[n] ^ right[n];
  }
  return difference;
}

// Guards against digests that differ from those in the settings documents.
TEST_CASE("a key's digest is HMAC-SHA-256 under the pepper")
{
  // Test case 2 of RFC 4231.
  CHECK(DigestKey("what do ya want for nothing?", "Jefe").mHex ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against a withdrawn or replaced key that still works, also for
// requests that were accepted before.
TEST_CASE("a withdrawn key stops working")
{
  KeyTable keys;
  keys.Apply(MakeSettings(false));
  const auto identity = keys.Identify("secret");
  REQUIRE(identity.has_value());
  CHECK(identity->mAccount == AccountId("shops"));
  CHECK(keys.IsValid(*identity));
  CHECK(keys.IsValid({ AccountId("shops"), "k1" }));

  keys.Apply(MakeSettings(true));
  CHECK(keys.Identify("secret").error().mCode == ResultCode::KeyWithdrawn);
  CHECK_FALSE(keys.IsValid(*identity));

  keys.Apply(MakeSettings(false, "another"));
  CHECK(keys.Identify("secret").error().mCode == ResultCode::KeyUnknown);
  CHECK_FALSE(keys.IsValid(*identity));
}

// Guards against a key in an error message, from where it would reach the log.
TEST_CASE("error messages about keys do not contain the key")
{
  KeyTable keys;
  keys.Apply(MakeSettings(true));
  CHECK(keys.Identify("").error().mCode == ResultCode::KeyMissing);
  for (const std::string key : { "secret", "wrong-key" }) {
    const std::string text = keys.Identify(key).error().mMessage;
    CHECK(text.find(key) == std::string::npos);
  }
}

// Guards against a comparison whose time depends on the presented key.
TEST_CASE("digests are compared in constant time")
{
  KeyTable keys;
  keys.Apply(MakeSettings(false));
  const int before = gCompares;
  CHECK(keys.Identify("secret").has_value());
  CHECK(gCompares == before + 1);
}
