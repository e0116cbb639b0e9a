#include "cranberrywing/gateway/account_shares.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "cranberrywing/share_record.h"

using namespace cranberrywing;
using namespace cranberrywing::gateway;

namespace {

/// aCount VMs, distributed evenly over three regions.
std::vector<SharingVm> Vms(std::size_t aCount)
{
  std::vector<SharingVm> vms;
  for (std::size_t n = 0; n < aCount; ++n) {
    vms.push_back({ VmId("vm-" + std::to_string(n)),
                    RegionId("region-" + std::to_string(n % 3)) });
  }
  return vms;
}

AccountSettings Account(double aBurst)
{
  return { .mAccount = AccountId("a"), .mRate = aBurst, .mBurst = aBurst };
}

} // namespace

// Guards against refusing requests of an account far below its rate limit on a
// large fleet: with 69 holders of a rate of 20, each would hold less than one
// request.
TEST_CASE("A small account has few holders on a large fleet")
{
  CHECK(ShareHolders(Account(20), Vms(69)).size() == 6);
  CHECK(ShareHolders(Account(240), Vms(69)).size() == 20);
  CHECK(ShareHolders(Account(2000), Vms(69)).size() == 69);
  CHECK(ShareHolders(Account(20), Vms(2)).size() == 2);
}

TEST_CASE("The shares of all VMs never exceed the account's rate")
{
  for (const std::size_t count : { 1, 2, 3, 11, 69, 300 }) {
    for (const double burst : { 1.0, 30.0, 193.0, 5000.0 }) {
      AccountShares shares;
      shares.SetAccounts({ { AccountId("a"), Account(burst) } });
      shares.SetVms(Vms(count));
      std::uint64_t sum = 0;
      for (const SharingVm& vm : Vms(count)) {
        sum += shares.Fraction(AccountId("a"), vm.mVm);
      }
      CHECK(sum <= kWholeShare);
      CHECK(sum > kWholeShare * 9 / 10);
    }
  }
}

// Guards against refusals because tokens have to be borrowed from another
// region: a request waits 50 ms for them, and the round trip takes 70 ms.
TEST_CASE("Every region has holders of a small account")
{
  const std::vector<SharingVm> vms = Vms(11);
  std::map<RegionId, int> count;
  for (const VmId& holder : ShareHolders(Account(20), vms)) {
    for (const SharingVm& vm : vms) {
      count[vm.mRegion] += vm.mVm == holder ? 1 : 0;
    }
  }
  CHECK(count.size() == 3);
  for (const auto& [region, holders] : count) {
    CHECK(holders == 2);
  }
}
