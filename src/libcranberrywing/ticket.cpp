#include "cranberrywing/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cranberrywing {

namespace {

constexpr std::string_view kVersion = "v1";
constexpr std::size_t kMacBytes = 32;
constexpr std::size_t kMacHexLength = 2 * kMacBytes;
/// Exceeds the longest valid ticket; bounds the work on malicious input.
constexpr std::size_t kMaxTicketLength = 256;

std::string FormatFields(const TicketFields& aFields)
{
  std::string text(kVersion);
  text += '.' + std::to_string(aFields.mSlot);
  text += '.' + std::to_string(aFields.mEpoch);
  text += '.' + std::to_string(aFields.mNumber);
  text += '.' + std::to_string(aFields.mExpirySeconds);
  return text;
}

/// Consumes a dot and a number at the start of the text. Returns false if the
/// text does not start with them.
template<class Number>
bool ConsumeNumber(std::string_view& aText, Number& aNumber)
{
  if (!aText.starts_with('.')) {
    return false;
  }
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data() + 1, end, aNumber);
  aText.remove_prefix(static_cast<std::size_t>(rest - aText.data()));
  return ec == std::errc();
}

Result<TicketFields> ParseFields(std::string_view aText)
{
  TicketFields fields;
  bool isValid = aText.starts_with(kVersion);
  aText.remove_prefix(std::min(aText.size(), kVersion.size()));
  isValid = isValid && ConsumeNumber(aText, fields.mSlot);
  isValid = isValid && ConsumeNumber(aText, fields.mEpoch);
  isValid = isValid && ConsumeNumber(aText, fields.mNumber);
  isValid = isValid && ConsumeNumber(aText, fields.mExpirySeconds);
  if (!isValid || !aText.empty()) {
    return MakeError(ResultCode::InvalidTicket, "ticket is malformed");
  }
  return fields;
}

/// Appends a field with its length, so that different fields never yield equal
/// input.
void AppendField(std::string& aInput, std::string_view aField)
{
  aInput += std::to_string(aField.size());
  aInput += ':';
  aInput += aField;
}

std::string ToHex(const unsigned char* aBytes, std::size_t aCount)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    hex += kDigits[aBytes[n] >> 4u];
    hex += kDigits[aBytes[n] & 15u];
  }
  return hex;
}

/// Hex-encoded HMAC-SHA-256 of the ticket's fields, account and route.
std::string Authenticate(const std::string& aSecret,
                         std::string_view aFields,
                         const AccountId& aAccount,
                         const RouteId& aRoute)
{
  std::string input;
  AppendField(input, aFields);
  AppendField(input, aAccount.mName);
  AppendField(input, aRoute.mName);
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(input.data()),
       input.size(),
       mac.data(),
       &length);
  return ToHex(mac.data(), length);
}

} // namespace

void TicketSigner::SetSecret(const std::string& aSecret)
{
  if (aSecret != mSecret) {
    mPreviousSecret = std::move(mSecret);
    mSecret = aSecret;
  }
}

Result<std::string> TicketSigner::Issue(const TicketFields& aFields,
                                        const AccountId& aAccount,
                                        const RouteId& aRoute) const
{
  if (mSecret.empty()) {
    return MakeError(ResultCode::NoConfiguration,
                     "the settings have no ticket secret");
  }
  const std::string fields = FormatFields(aFields);
  return fields + "." + Authenticate(mSecret, fields, aAccount, aRoute);
}

Result<TicketFields> TicketSigner::Verify(std::string_view aText,
                                          const AccountId& aAccount,
                                          const RouteId& aRoute) const
{
  const std::size_t dot = aText.rfind('.');
  if (aText.size() > kMaxTicketLength || dot == std::string_view::npos ||
      aText.size() - dot - 1 != kMacHexLength) {
    return MakeError(ResultCode::InvalidTicket, "ticket is malformed");
  }
  const std::string_view fields = aText.substr(0, dot);
  const std::string_view mac = aText.substr(dot + 1);
  for (const std::string* secret : { &mSecret, &mPreviousSecret }) {
    if (secret->empty()) {
      continue;
    }
    const std::string expected =
      Authenticate(*secret, fields, aAccount, aRoute);
    if (CRYPTO_memcmp(expected.data(), mac.data(), kMacHexLength) == 0) {
      return ParseFields(fields);
    }
  }
  return MakeError(ResultCode::InvalidTicket,
                   "ticket was not issued for this account and route");
}

} // namespace cranberrywing
