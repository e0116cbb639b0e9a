/// \file
/// Reading of a text that is nothing but a number.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace cranberrywing {

/// The number, or nullopt if the text is empty, holds anything else, or is out
/// of the type's range. Thread-safe.
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
