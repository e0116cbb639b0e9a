#include "cranberrywing/slot_record.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace cranberrywing {

namespace {

struct WeightedVm
{
  std::uint64_t mWeight = 0;
  VmId mVm;

  auto operator<=>(const WeightedVm&) const = default;
};

using WeightedVms = std::vector<WeightedVm>;

void SortDescending(WeightedVms& aVms)
{
  std::sort(aVms.begin(), aVms.end(), std::greater<>());
}

/// Groups the candidates by failure domain. Each group is sorted by descending
/// weight, and the groups by the weight of their first member.
std::vector<WeightedVms> GroupByDomain(
  const std::vector<std::pair<VmId, FailureDomainId>>& aCandidates)
{
  std::map<FailureDomainId, WeightedVms> domains;
  for (const auto& [vm, domain] : aCandidates) {
    domains[domain].push_back(
      { RendezvousWeight("slot-owners", vm.mName), vm });
  }
  std::vector<WeightedVms> groups;
  for (auto& [domain, members] : domains) {
    SortDescending(members);
    groups.push_back(std::move(members));
  }
  std::sort(groups.begin(), groups.end(), std::greater<>());
  return groups;
}

} // namespace

std::string EncodeSlotRecord(const SlotRecord& aRecord)
{
  const SlotOwner& owner = aRecord.mOwner;
  std::ostringstream buf;
  buf << owner.mEpoch << ' ' << owner.mProcess.mIncarnation.mNumber << ' '
      << (aRecord.mIsHandedOver ? 1 : 0) << ' ' << owner.mProcess.mVm;
  return buf.str();
}

Result<SlotRecord> DecodeSlotRecord(std::string_view aText)
{
  std::istringstream buf{ std::string(aText) };
  SlotRecord record;
  SlotOwner& owner = record.mOwner;
  int handedOver = 0;
  buf >> owner.mEpoch >> owner.mProcess.mIncarnation.mNumber >> handedOver;
  buf.get();
  std::getline(buf, owner.mProcess.mVm.mName);
  if (buf.fail() || owner.mEpoch == 0 || handedOver < 0 || handedOver > 1) {
    return MakeError(ResultCode::Malformed, "slot record cannot be decoded");
  }
  record.mIsHandedOver = handedOver == 1;
  return record;
}

std::vector<VmId> ChooseSlotOwners(
  const std::vector<std::pair<VmId, FailureDomainId>>& aCandidates,
  std::size_t aCount)
{
  const std::vector<WeightedVms> groups = GroupByDomain(aCandidates);
  std::vector<VmId> chosen;
  const std::size_t wanted = std::min(aCount, aCandidates.size());
  for (std::size_t rank = 0; chosen.size() < wanted; ++rank) {
    for (const WeightedVms& group : groups) {
      if (rank < group.size() && chosen.size() < wanted) {
        chosen.push_back(group[rank].mVm);
      }
    }
  }
  return chosen;
}

std::uint64_t CopyHolderWeight(std::uint32_t aSlot, const VmId& aVm)
{
  return RendezvousWeight("copies/" + std::to_string(aSlot), aVm.mName);
}

std::vector<VmId> OrderSlotOwners(std::uint32_t aSlot, std::vector<VmId> aVms)
{
  const std::string item = "slot-" + std::to_string(aSlot);
  WeightedVms weighted;
  for (VmId& vm : aVms) {
    weighted.push_back({ RendezvousWeight(item, vm.mName), std::move(vm) });
  }
  SortDescending(weighted);
  std::vector<VmId> ordered;
  for (WeightedVm& entry : weighted) {
    ordered.push_back(std::move(entry.mVm));
  }
  return ordered;
}

} // namespace cranberrywing
