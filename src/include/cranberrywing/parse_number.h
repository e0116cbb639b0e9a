/// \file
/// Strict parsing of numbers.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace cranberrywing {

/// Returns the number, or nullopt if the text is empty, contains anything but a
/// number, or is out of the type's range. Thread-safe.
template<class Number>
std::optional<Number> ParseNumber(std::string_view aText)
{
  Number number{};
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return number;
}

} // namespace cranberrywing
