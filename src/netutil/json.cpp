#include "netutil/json.h"

#include <boost/json/parse.hpp>
#include <charconv>

#include "cranberrywing/parse_number.h"

namespace cranberrywing::netutil {

namespace json = boost::json;

namespace {

constexpr std::size_t kEscapeSize = 6; // \uXXXX

/// Code unit of an escape such as \ud83d at the position; nullopt if there is
/// none.
std::optional<std::uint32_t> EscapedUnit(std::string_view aText,
                                         std::size_t aAt)
{
  const std::string_view escape = aText.substr(aAt, kEscapeSize);
  std::uint32_t unit = 0;
  const char* const last = escape.data() + escape.size();
  if (escape.size() != kEscapeSize || !escape.starts_with("\\u") ||
      std::from_chars(escape.data() + 2, last, unit, 16).ptr != last) {
    return std::nullopt;
  }
  return unit;
}

/// Replaces escapes of surrogates that are not part of a pair.
std::string ReplaceLoneSurrogates(std::string_view aText)
{
  const auto isHigh = [](std::optional<std::uint32_t> aUnit) {
    return aUnit && *aUnit >= 0xd800 && *aUnit < 0xdc00;
  };
  const auto isLow = [](std::optional<std::uint32_t> aUnit) {
    return aUnit && *aUnit >= 0xdc00 && *aUnit < 0xe000;
  };
  std::string text(aText);
  for (std::size_t at = 0; at < text.size();) {
    const auto unit = EscapedUnit(text, at);
    if (isHigh(unit) && isLow(EscapedUnit(text, at + kEscapeSize))) {
      at += 2 * kEscapeSize;
    } else if (isHigh(unit) || isLow(unit)) {
      text.replace(at, kEscapeSize, "\\ufffd");
      at += kEscapeSize;
    } else {
      at += text[at] == '\\' ? 2 : 1;
    }
  }
  return text;
}

Result<json::object> Parse(std::string_view aText,
                           const json::parse_options& aOptions)
{
  boost::system::error_code ec;
  json::value value = json::parse(aText, ec, {}, aOptions);
  if (ec) {
    return MakeError(ResultCode::Malformed, "invalid JSON: " + ec.message());
  }
  if (!value.is_object()) {
    return MakeError(ResultCode::Malformed, "JSON text is not an object");
  }
  return std::move(value.get_object());
}

} // namespace

Result<json::object> ParseObject(std::string_view aText)
{
  return Parse(aText, {});
}

Result<json::object> ParseObjectOfAnyBytes(std::string_view aText)
{
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  const auto object = Parse(aText, options);
  return object ? object : Parse(ReplaceLoneSurrogates(aText), options);
}

const json::object* FindObject(const json::object& aObject,
                               std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value ? value->if_object() : nullptr;
}

const json::array* FindArray(const json::object& aObject,
                             std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value ? value->if_array() : nullptr;
}

std::string FindString(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (!value || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

std::optional<std::int64_t> FindInteger(const json::object& aObject,
                                        std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (!value) {
    return std::nullopt;
  }
  if (value->is_int64()) {
    return value->get_int64();
  }
  if (value->is_string()) {
    return ParseNumber<std::int64_t>(std::string_view(value->get_string()));
  }
  return std::nullopt;
}

std::optional<double> FindNumber(const json::object& aObject,
                                 std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (!value || !value->is_number()) {
    return std::nullopt;
  }
  return value->to_number<double>();
}

bool FindBool(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value && value->is_bool() && value->get_bool();
}

} // namespace cranberrywing::netutil
