#include "netutil/json.h"

#include <boost/json/parse.hpp>

#include "cranberrywing/parse_number.h"

namespace cranberrywing::netutil {

namespace json = boost::json;

Result<json::object> ParseObject(std::string_view aText)
{
  boost::system::error_code ec;
  json::value value = json::parse(aText, ec);
  if (ec) {
    return MakeError(ResultCode::Malformed, "invalid JSON: " + ec.message());
  }
  if (!value.is_object()) {
    return MakeError(ResultCode::Malformed, "JSON text is not an object");
  }
  return std::move(value.get_object());
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
