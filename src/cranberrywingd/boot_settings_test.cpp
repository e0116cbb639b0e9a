#include "cranberrywingd/boot_settings.h"

#include <catch2/catch.hpp>

using namespace cranberrywing;
using namespace cranberrywing::daemon;

namespace {

constexpr std::string_view kComplete = R"(
vm: vm-1
region: accra
failure_domain: accra-a
address: 127.0.0.1
caller_port: 7001
peer_port: 7101
admin_port: 7201
store: [127.0.0.1:2379, "127.0.0.1:2378"]
vm_list: http://127.0.0.1:2381/vms
peer_secret_file: /run/secrets/peer
)";

std::string ErrorOf(const std::string& aText)
{
  BootSettings settings;
  const auto read = ReadBootFile(aText, settings);
  return read ? std::string() : read.error().mMessage;
}

} // namespace

// Guards against starting with a field that is silently ignored or misread.
TEST_CASE("all fields of a boot file are read and defaults are filled in")
{
  BootSettings settings;
  REQUIRE(ReadBootFile(kComplete, settings));
  REQUIRE(CompleteBootSettings(settings));
  CHECK(settings.mVm == VmId("vm-1"));
  CHECK(settings.mSite == SiteId("accra"));
  CHECK(settings.mAdminAddress == "127.0.0.1");
  CHECK(settings.mStore.size() == 2);
  CHECK(settings.mVmList.mEndpoint.mPort == 2381);
  CHECK(settings.mVmList.mTarget == "/vms");
  CHECK(settings.mPeerSecretFile == "/run/secrets/peer");
}

// Guards against error messages from which an operator cannot locate the error.
TEST_CASE("errors in a boot file report the line and the field")
{
  CHECK(ErrorOf("vm: a\nregoin: b\n") == "line 2: unknown field 'regoin'");
  CHECK(ErrorOf("caller_port: 70000\n").starts_with("line 1: caller_port: "));
  CHECK(ErrorOf("address: localhost\n").starts_with("line 1: address: "));
  CHECK(ErrorOf("vm: a b\n").starts_with("line 1: vm: "));
  CHECK(ErrorOf("store: 127.0.0.1\n").starts_with("line 1: store: "));
  CHECK(ErrorOf("vm_list: ftp://127.0.0.1/\n").starts_with("line 1: vm_list"));
  CHECK(ErrorOf("vm: [a\n").starts_with("line "));
  BootSettings settings;
  CHECK(CompleteBootSettings(settings).error().mMessage ==
        "missing: vm, region, failure_domain, address, caller_port, "
        "peer_port, admin_port, store");
}
