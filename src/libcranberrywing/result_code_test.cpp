#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "cranberrywing/result_code.h"

using namespace cranberrywing;

namespace {

bool IsCode(int aNumber)
{
  const auto code = static_cast<ResultCode>(aNumber);
  return code == ResultCode::Internal ||
         ToString(code) != ToString(ResultCode::Internal);
}

/// The first cells of a code's expected row in docs/result-codes.md.
std::string RowOf(int aNumber)
{
  const auto code = static_cast<ResultCode>(aNumber);
  std::ostringstream row;
  row << "| " << aNumber << " | `" << ToString(code) << "` | "
      << HttpStatus(code) << " | " << ExitStatus(code) << " | ";
  return row.str();
}

} // namespace

// Guards against documentation with a wrong status or a missing code.
TEST_CASE("docs/result-codes.md matches the result codes")
{
  std::ifstream file(CW_EXAMPLES "/../docs/result-codes.md");
  std::set<std::string> rows;
  for (std::string line; std::getline(file, line);) {
    if (line.size() > 2 && line[0] == '|' && std::isdigit(line[2])) {
      rows.insert(line);
    }
  }
  std::size_t codes = 0;
  for (int n = 0; n < 1000; ++n) {
    if (!IsCode(n)) {
      continue;
    }
    ++codes;
    INFO(RowOf(n));
    const auto it = rows.lower_bound(RowOf(n));
    CHECK((it != rows.end() && it->starts_with(RowOf(n))));
  }
  CHECK(rows.size() == codes);
}
