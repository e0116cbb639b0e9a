#include "standins/vm_list/vm_list_state.h"

#include <array>
#include <utility>

#include "netutil/json.h"

namespace cranberrywing::standins {

namespace json = boost::json;

namespace {

struct StateName
{
  VmState mState;
  std::string_view mName;
};

constexpr std::array kStateNames{
  StateName{ VmState::Live, "live" },
  StateName{ VmState::Leaving, "leaving" },
  StateName{ VmState::Gone, "gone" },
};

std::string NameOf(VmState aState)
{
  for (const StateName& name : kStateNames) {
    if (name.mState == aState) {
      return std::string(name.mName);
    }
  }
  return {};
}

} // namespace

void VmListState::Set(VmChange aChange, Time aNow)
{
  mPending.push_back({ aNow + mLag, std::move(aChange) });
}

json::array VmListState::Encode(Time aNow)
{
  while (!mPending.empty() && mPending.front().mVisibleFrom <= aNow) {
    const VmChange change = std::move(mPending.front().mChange);
    mPending.pop_front();
    mVisible[change.mVm] = change.mListed;
    if (change.mListed.mState == VmState::Gone) {
      mVisible.erase(change.mVm);
    }
  }
  json::array list;
  for (const auto& [vm, listed] : mVisible) {
    json::object labels;
    labels["vm"] = vm;
    labels["state"] = NameOf(listed.mState);
    json::object entry;
    entry["targets"] = json::array{ json::value(listed.mTarget) };
    entry["labels"] = std::move(labels);
    list.push_back(std::move(entry));
  }
  return list;
}

Result<VmChange> ParseVmChange(const json::object& aBody)
{
  VmChange change;
  change.mVm = netutil::FindString(aBody, "vm");
  change.mListed.mTarget = netutil::FindString(aBody, "target");
  const std::string state = netutil::FindString(aBody, "state");
  if (change.mVm.empty()) {
    return MakeError(ResultCode::InvalidArgument, "vm is missing or empty");
  }
  for (const StateName& name : kStateNames) {
    if (name.mName == state) {
      change.mListed.mState = name.mState;
      return change;
    }
  }
  return MakeError(ResultCode::InvalidArgument,
                   "state must be live, leaving or gone");
}

} // namespace cranberrywing::standins
