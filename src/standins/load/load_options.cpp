#include "standins/load/load_options.h"

#include <array>

namespace cranberrywing::standins {

namespace {

struct ModeName
{
  LoadMode mMode;
  std::string_view mName;
};

constexpr std::array kModeNames{
  ModeName{ LoadMode::Get, "get" },
  ModeName{ LoadMode::Order, "order" },
  ModeName{ LoadMode::Ticket, "ticket" },
  ModeName{ LoadMode::Lookup, "lookup" },
};

} // namespace

Result<LoadMode> ParseLoadMode(std::string_view aText)
{
  for (const ModeName& mode : kModeNames) {
    if (mode.mName == aText) {
      return mode.mMode;
    }
  }
  return MakeError(ResultCode::InvalidArgument,
                   "--mode must be get, order, ticket or lookup");
}

} // namespace cranberrywing::standins
