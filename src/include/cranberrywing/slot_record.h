/// \file
/// The store's records of slot owners, and which VMs should own slots.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

struct SlotOwner
{
  VmIncarnation mProcess;
  std::uint64_t mEpoch = 0;

  bool operator==(const SlotOwner&) const = default;
};

struct SlotRecord
{
  SlotOwner mOwner;
  /// Whether the owner of the epoch before gave the slot up as planned.
  bool mIsHandedOver = false;

  bool operator==(const SlotRecord&) const = default;
};

/// One line of text: epoch, incarnation, 0 or 1 for a handover, VM name.
std::string EncodeSlotRecord(const SlotRecord& aRecord);
/// Errors: Malformed.
Result<SlotRecord> DecodeSlotRecord(std::string_view aText);

/// At most aCount VMs that should own slots, by rendezvous weight, with the
/// failure domains taking turns. Equal input gives equal output whatever its
/// order. Thread-safe.
std::vector<VmId> ChooseSlotOwners(
  const std::vector<std::pair<VmId, FailureDomainId>>& aCandidates,
  std::size_t aCount);

/// Weight of a VM as the holder of copies of a slot's answers; the usable VM
/// outside the owner's failure domain with the greatest weight holds them, so
/// that a successor knows whom to ask. Thread-safe.
std::uint64_t CopyHolderWeight(std::uint32_t aSlot, const VmId& aVm);

/// The VMs in the order in which they should own the slot. Thread-safe.
std::vector<VmId> OrderSlotOwners(std::uint32_t aSlot, std::vector<VmId> aVms);

} // namespace cranberrywing
