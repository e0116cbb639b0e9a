/// \file
/// Field lines that make a response malformed.
#pragma once

#include <string>
#include <vector>

namespace cranberrywing::netutil {

/// Lines whose field name is empty, or holds a blank, a control byte or a byte
/// outside of ASCII.
inline const std::vector<std::string> kInvalidNameLines{
  "A b: v\r\n",    "A\tb: v\r\n",
  "A : v\r\n",     "A\t: v\r\n",
  "A\x01z: v\r\n", "A\x1b: v\r\n",
  "A\x7f: v\r\n",  std::string("A\0b: v\r\n", 8),
  "A\rb: v\r\n",   "A\nb: v\r\n",
  "A\x80: v\r\n",  "\xc3\xa4: v\r\n",
  ": v\r\n",
};

/// Lines that begin with a blank, and fold the line before them, if any.
inline const std::vector<std::string> kFoldedLines{
  " A: v\r\n", "\tA: v\r\n", " \t A: v\r\n", " : v\r\n",
  " v\r\n",    " \r\n",      "\t\r\n",       " Transfer-Encoding: chunked\r\n",
};

} // namespace cranberrywing::netutil
