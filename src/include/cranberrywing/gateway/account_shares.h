/// \file
/// Which VMs hold a part of a client account's rate, without a message.
///
/// Pattern: many accounts on many VMs. A small rate divided among all VMs
/// leaves each with less than one request, and a caller is refused although
/// its account is far below its rate. A few holders keep parts large enough to
/// use; the others borrow from them (RateLimiter).
#pragma once

#include <unordered_map>
#include <vector>

#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// A VM among which accounts' rates are divided.
struct SharingVm
{
  VmId mVm;
  RegionId mRegion;
};

/// The VMs that hold equal parts of the account's rate and burst, the first of
/// each region before the second of any: borrowing from another region may
/// take longer than a request can wait. Equal sets of VMs give equal holders.
/// Thread-safe.
std::vector<VmId> ShareHolders(const AccountSettings& aAccount,
                               const std::vector<SharingVm>& aVms);

/// Keeps the holders of each account until the VMs or the accounts change. Not
/// thread-safe; owned by the gateway.
class AccountShares
{
public:
  using Accounts = std::unordered_map<AccountId, AccountSettings>;

  void SetAccounts(Accounts aAccounts);
  void SetVms(std::vector<SharingVm> aVms);
  /// Empty for an unknown account.
  const std::vector<VmId>& Holders(const AccountId& aAccount);
  /// A VM's part in millionths; zero if it holds none.
  std::uint32_t Fraction(const AccountId& aAccount, const VmId& aVm);

private:
  Accounts mAccounts;
  std::vector<SharingVm> mVms;
  std::unordered_map<AccountId, std::vector<VmId>> mHolders;
};

} // namespace cranberrywing::gateway
