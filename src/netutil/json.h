/// \file
/// Typed access to JSON members without exceptions. All functions are
/// thread-safe.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cranberrywing/result_code.h"

namespace cranberrywing::netutil {

/// Parses a JSON text whose top-level value must be an object. Errors:
/// Malformed.
Result<boost::json::object> ParseObject(std::string_view aText);

/// The same for text with strings of any bytes: sequences that are not UTF-8
/// are kept, and escapes of surrogates that form no character are replaced by
/// U+FFFD. Thread-safe.
Result<boost::json::object> ParseObjectOfAnyBytes(std::string_view aText);

/// Returns the member if it is an object, else null.
const boost::json::object* FindObject(const boost::json::object& aObject,
                                      std::string_view aName);

/// Returns the member if it is an array, else null.
const boost::json::array* FindArray(const boost::json::object& aObject,
                                    std::string_view aName);

/// Returns the member if it is a string, else an empty string.
std::string FindString(const boost::json::object& aObject,
                       std::string_view aName);

/// Returns the member if it is an integer or, as in the JSON mapping of
/// protobuf, a string that holds one; else nullopt.
std::optional<std::int64_t> FindInteger(const boost::json::object& aObject,
                                        std::string_view aName);

/// Returns the member if it is a number of any kind, else nullopt.
std::optional<double> FindNumber(const boost::json::object& aObject,
                                 std::string_view aName);

/// Returns the member if it is a Boolean, else false.
bool FindBool(const boost::json::object& aObject, std::string_view aName);

} // namespace cranberrywing::netutil
