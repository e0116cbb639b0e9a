#include "standins/vm_list/vm_list_state.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::standins;

// The list must not show a change before the lag has passed, and its JSON must
// be what http_sd clients expect.
TEST_CASE("the VM list shows changes after the lag as http_sd JSON")
{
  VmListState state(Milliseconds(500));
  const VmListState::Time start{};
  state.Set({ "vm-1", { "127.0.0.1:7001", VmState::Live } }, start);
  CHECK(state.Encode(start + Milliseconds(499)).empty());
  CHECK(boost::json::serialize(state.Encode(start + Milliseconds(500))) ==
        R"([{"targets":["127.0.0.1:7001"],)"
        R"("labels":{"vm":"vm-1","state":"live"}}])");
  state.Set({ "vm-1", { "", VmState::Gone } }, start + Milliseconds(600));
  CHECK(state.Encode(start + Milliseconds(1000)).size() == 1);
  CHECK(state.Encode(start + Milliseconds(1100)).empty());
}
