/// \file
/// What the administration API shows of a daemon, as JSON.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "cranberrywing/reducer.h"
#include "cranberrywing/settings.h"
#include "cranberrywingd/metrics.h"
#include "cranberrywingd/timeline.h"

namespace cranberrywing::daemon {

/// State of this VM, its services, client accounts and shifts.
boost::json::object StatusView(const Reducer& aReducer, TimePoint aNow);

/// Every VM that this VM knows, itself included.
boost::json::array MembersView(const Reducer& aReducer, TimePoint aNow);

/// Entries of the time line from a number on.
boost::json::object TimelineView(const Timeline& aTimeline,
                                 std::uint64_t aSince);

/// Policy fields with the nodes that set them.
boost::json::array PolicyView(const std::vector<PolicySource>& aSources);

/// Gauges and counters of the decision core.
void WriteCoreMetrics(const Reducer& aReducer,
                      TimePoint aNow,
                      MetricsWriter& aOut);

} // namespace cranberrywing::daemon
