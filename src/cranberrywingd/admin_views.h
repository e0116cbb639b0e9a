/// \file
/// JSON views of a daemon's state for the administration API, and the metrics
/// of the decision core. All functions must be called on the event loop's
/// thread.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "cranberrywing/reducer.h"
#include "cranberrywing/settings.h"
#include "cranberrywingd/metrics.h"
#include "cranberrywingd/timeline.h"

namespace cranberrywing::daemon {

/// State of this VM, its services, client accounts and traffic shifts.
boost::json::object StatusView(const Reducer& aReducer, TimePoint aNow);

/// All VMs known to this VM, including itself.
boost::json::array MembersView(const Reducer& aReducer, TimePoint aNow);

/// Timeline entries with a number of at least aSince, and the next number.
boost::json::object TimelineView(const Timeline& aTimeline,
                                 std::uint64_t aSince);

/// Policy fields with their values and the settings nodes that define them.
boost::json::array PolicyView(const std::vector<PolicySource>& aSources);

/// Writes the gauges and counters of the decision core.
void WriteCoreMetrics(const Reducer& aReducer,
                      TimePoint aNow,
                      MetricsWriter& aOut);

} // namespace cranberrywing::daemon
