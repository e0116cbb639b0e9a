/// \file
/// The platform's list of VMs with a configurable lag.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing::standins {

enum class VmState : std::uint8_t
{
  Live,
  Leaving,
  /// No longer listed.
  Gone,
};

struct ListedVm
{
  std::string mTarget;
  VmState mState = VmState::Live;
};

/// One change of one VM.
struct VmChange
{
  std::string mVm;
  ListedVm mListed;
};

/// Not thread-safe; reads no clock.
class VmListState
{
public:
  using Time = std::chrono::steady_clock::time_point;

  explicit VmListState(Milliseconds aLag)
    : mLag(aLag)
  {
  }

  void SetLag(Milliseconds aLag) { mLag = aLag; }
  /// Takes a change, which the list shows after the lag.
  void Set(VmChange aChange, Time aNow);
  /// The list as http_sd JSON.
  boost::json::array Encode(Time aNow);

private:
  struct Pending
  {
    Time mVisibleFrom;
    VmChange mChange;
  };

  Milliseconds mLag;
  std::deque<Pending> mPending;
  std::map<std::string, ListedVm> mVisible;
};

/// Parses {"vm":"vm-1","target":"127.0.0.1:7001","state":"live"}; state is
/// live, leaving or gone. Errors: InvalidArgument.
Result<VmChange> ParseVmChange(const boost::json::object& aBody);

} // namespace cranberrywing::standins
