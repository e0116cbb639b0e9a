/// \file
/// Reading of JSON members without exceptions.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// Parses a JSON text that must be an object. Errors: Malformed.
Result<boost::json::object> ParseObject(std::string_view aText);

/// A member that is an object, or null.
const boost::json::object* FindObject(const boost::json::object& aObject,
                                      std::string_view aName);

/// A member that is an array, or null.
const boost::json::array* FindArray(const boost::json::object& aObject,
                                    std::string_view aName);

/// A member that is a string; empty if it is absent.
std::string FindString(const boost::json::object& aObject,
                       std::string_view aName);

/// A member that is a number or, as in protobuf's JSON mapping, a number in
/// a string; nullopt if it is absent or something else.
std::optional<std::int64_t> FindInteger(const boost::json::object& aObject,
                                        std::string_view aName);

/// A member that is any number; nullopt if it is absent or something else.
std::optional<double> FindNumber(const boost::json::object& aObject,
                                 std::string_view aName);

/// A member that is true or false; false if it is absent.
bool FindBool(const boost::json::object& aObject, std::string_view aName);

} // namespace cranberrywing::netutil
