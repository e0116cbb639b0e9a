/// \file
/// Slot records in the store, and the choice of VMs that should own slots.
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
  /// Whether the previous owner handed the slot over, as opposed to a takeover.
  bool mIsHandedOver = false;

  bool operator==(const SlotRecord&) const = default;
};

/// Encodes a record as a line of text: epoch, incarnation, handover flag (0 or
/// 1) and VM name, separated by blanks.
std::string EncodeSlotRecord(const SlotRecord& aRecord);
/// Errors: Malformed.
Result<SlotRecord> DecodeSlotRecord(std::string_view aText);

/// Chooses at most aCount VMs that should own slots, by rendezvous hashing,
/// alternating between failure domains. The result does not depend on the order
/// of the candidates. Thread-safe.
std::vector<VmId> ChooseSlotOwners(
  const std::vector<std::pair<VmId, FailureDomainId>>& aCandidates,
  std::size_t aCount);

/// Rendezvous weight of a VM as holder of the copies of a slot's answers. The
/// usable VM outside the owner's failure domain with the greatest weight holds
/// them, so that a new owner can find it. Thread-safe.
std::uint64_t CopyHolderWeight(std::uint32_t aSlot, const VmId& aVm);

/// Sorts VMs by their preference as owner of the slot, best first. Thread-safe.
std::vector<VmId> OrderSlotOwners(std::uint32_t aSlot, std::vector<VmId> aVms);

} // namespace cranberrywing
