/// \file
/// Assigns each client account's rate limit to a subset of the VMs. Every VM
/// computes the same assignment from the same inputs, without coordination.
///
/// If a small rate were divided among all VMs, each would hold less than one
/// request, and callers would be refused although the account is far below its
/// limit. Instead a few holders have shares of usable size, and the other VMs
/// borrow tokens from them (RateLimiter).
#pragma once

#include <unordered_map>
#include <vector>

#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing::gateway {

/// A VM that takes part in dividing the accounts' rates.
struct SharingVm
{
  VmId mVm;
  RegionId mRegion;
};

/// Returns the VMs that hold equal shares of the account's rate and burst. Each
/// region gets its first holder before any region gets a second one, because
/// borrowing from another region may take longer than a request can wait. Equal
/// sets of VMs give equal holders. Thread-safe.
std::vector<VmId> ShareHolders(const AccountSettings& aAccount,
                               const std::vector<SharingVm>& aVms);

/// Caches the holders of each account until the VMs or the accounts change. Not
/// thread-safe; owned by the gateway.
class AccountShares
{
public:
  using Accounts = std::unordered_map<AccountId, AccountSettings>;

  void SetAccounts(Accounts aAccounts);
  void SetVms(std::vector<SharingVm> aVms);
  /// Returns an empty list for an unknown account.
  const std::vector<VmId>& Holders(const AccountId& aAccount);
  /// Share of a VM in millionths of the account's rate; zero if it is not a
  /// holder.
  std::uint32_t Fraction(const AccountId& aAccount, const VmId& aVm);

private:
  Accounts mAccounts;
  std::vector<SharingVm> mVms;
  std::unordered_map<AccountId, std::vector<VmId>> mHolders;
};

} // namespace cranberrywing::gateway
