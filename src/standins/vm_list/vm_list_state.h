/// \file
/// The platform's list of VMs, which shows changes after a configurable lag.
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

/// State of a VM as the platform lists it.
enum class VmState : std::uint8_t
{
  Live,
  Leaving,
  /// Removed from the list.
  Gone,
};

/// Entry of the list.
struct ListedVm
{
  /// Address and port, as in "127.0.0.1:7001".
  std::string mTarget;
  VmState mState = VmState::Live;
};

/// One change of one VM.
struct VmChange
{
  std::string mVm;
  ListedVm mListed;
};

/// The list and the changes that it does not show yet. Not thread-safe; reads
/// no clock.
class VmListState
{
public:
  using Time = std::chrono::steady_clock::time_point;

  explicit VmListState(Milliseconds aLag)
    : mLag(aLag)
  {
  }

  /// Sets the lag of later changes; those already made keep theirs.
  void SetLag(Milliseconds aLag) { mLag = aLag; }
  /// Adds a change, which the list shows from aNow plus the lag on.
  void Set(VmChange aChange, Time aNow);
  /// The list as of aNow in Prometheus http_sd JSON. aNow must not decrease.
  boost::json::array Encode(Time aNow);

private:
  /// A change that the list does not show yet.
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
/// live, leaving or gone. Errors: InvalidArgument. Thread-safe.
Result<VmChange> ParseVmChange(const boost::json::object& aBody);

} // namespace cranberrywing::standins
