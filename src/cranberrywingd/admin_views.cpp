#include "cranberrywingd/admin_views.h"

#include <algorithm>
#include <array>

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

std::string_view NameOf(MemberState aState)
{
  constexpr std::array<std::string_view, 5> kNames{
    "alive", "suspect", "unreachable", "leaving", "dead",
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

std::string_view NameOf(DrainStage aStage)
{
  constexpr std::array<std::string_view, 5> kNames{
    "serving", "linger", "handover", "finish", "exited",
  };
  return kNames.at(static_cast<std::size_t>(aStage));
}

std::int64_t MillisecondsOf(Duration aTime)
{
  return std::chrono::duration_cast<Milliseconds>(aTime).count();
}

/// Keys of a map in sorted order, so that the output is stable.
template<class Map>
auto SortedKeys(const Map& aMap)
{
  std::vector<typename Map::key_type> keys;
  for (const auto& [key, value] : aMap) {
    keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

json::object BackendView(const BackendSettings& aBackend,
                         const Reducer& aReducer,
                         TimePoint aNow)
{
  const BackendHealth& health = aReducer.GetHealth();
  json::object view;
  view["backend"] = aBackend.mBackend.mName;
  view["region"] = aBackend.mRegion.mName;
  view["failure_domain"] = aBackend.mFailureDomain.mName;
  view["usable"] = health.IsUsable(aBackend.mBackend, aNow);
  view["draining"] = aBackend.mDraining;
  view["warmth"] = health.SlowStartFactor(aBackend.mBackend, aNow);
  view["in_flight"] = aReducer.GetSelector().InFlight(aBackend.mBackend);
  view["latency_ms"] =
    MillisecondsOf(aReducer.GetSelector().Latency(aBackend.mBackend));
  if (const auto load = health.Load(aBackend.mBackend, aNow)) {
    view["reported_utilization"] = load->mReport.mUtilization;
    view["report_age_ms"] = MillisecondsOf(load->mAge);
  }
  return view;
}

json::array ServicesView(const Reducer& aReducer, TimePoint aNow)
{
  const SettingsSnapshot& settings = *aReducer.GetConfiguration().Current();
  json::array services;
  for (const ServiceId& id : SortedKeys(settings.mServices)) {
    json::object view;
    view["service"] = id.mName;
    view["waiting"] = aReducer.GetQueue().Waiting(id);
    view["running"] = aReducer.GetQueue().Running(id);
    json::array backends;
    for (const BackendSettings& one : settings.mServices.at(id).mBackends) {
      backends.push_back(BackendView(one, aReducer, aNow));
    }
    view["backends"] = std::move(backends);
    services.push_back(std::move(view));
  }
  return services;
}

json::array AccountsView(const Reducer& aReducer, TimePoint aNow)
{
  const SettingsSnapshot& settings = *aReducer.GetConfiguration().Current();
  json::array accounts;
  for (const AccountId& id : SortedKeys(settings.mAccounts)) {
    const AccountSettings& account = settings.mAccounts.at(id);
    json::object view;
    view["account"] = id.mName;
    view["rate"] = account.mRate;
    view["burst"] = account.mBurst;
    view["tokens"] = aReducer.GetRates().Tokens(id, aNow);
    accounts.push_back(std::move(view));
  }
  return accounts;
}

json::array ShiftsView(const Reducer& aReducer)
{
  json::array shifts;
  for (const auto& shift : aReducer.GetShifts().Report()) {
    json::object view;
    view["service"] = shift.mService.mName;
    view["to"] = shift.mTo.mName;
    view["moved"] = shift.mShiftedFraction;
    view["target"] = shift.mTarget;
    view["held"] = shift.mIsHeld;
    shifts.push_back(std::move(view));
  }
  return shifts;
}

/// Number of execution slots that this VM owns.
std::size_t OwnedSlots(const Reducer& aReducer)
{
  const SlotTable& slots = aReducer.GetSlots();
  std::size_t owned = 0;
  for (std::uint32_t n = 0; n < slots.SlotCount(); ++n) {
    owned += slots.IsOwner(n) ? 1 : 0;
  }
  return owned;
}

/// Whether this VM is not isolated and accepts callers' API keys: it cannot
/// have missed withdrawals of keys for longer than the isolation limit.
bool IsCurrent(const Reducer& aReducer, TimePoint aNow)
{
  const Duration limit =
    aReducer.GetConfiguration().Current()->mFleet.mIsolationLimit;
  return limit == Duration::zero() ||
         aReducer.GetMembership().IsCurrent(limit, aNow);
}

json::object CountersView(const PipelineCounters& aCounters)
{
  json::object view;
  view["arrived"] = aCounters.mArrived;
  view["answered"] = aCounters.mAnswered;
  view["replayed"] = aCounters.mReplayed;
  view["retried"] = aCounters.mRetried;
  view["forwarded"] = aCounters.mForwarded;
  view["dispatched"] = aCounters.mDispatched;
  view["cancelled"] = aCounters.mCancelled;
  json::object refused;
  for (const std::uint16_t code : SortedKeys(aCounters.mRefusedByCode)) {
    refused[ToString(static_cast<ResultCode>(code))] =
      aCounters.mRefusedByCode.at(code);
  }
  view["refused"] = std::move(refused);
  return view;
}

json::object MemberView(const MemberUpdate& aUpdate)
{
  json::object view;
  view["vm"] = aUpdate.mMember.mVm.mName;
  view["incarnation"] = std::to_string(aUpdate.mMember.mIncarnation.mNumber);
  view["state"] = NameOf(aUpdate.mState);
  view["region"] = aUpdate.mRegion.mName;
  view["failure_domain"] = aUpdate.mFailureDomain.mName;
  view["site"] = aUpdate.mSite.mName;
  view["address"] = aUpdate.mAddress;
  view["caller_port"] = aUpdate.mCallerPort;
  view["peer_port"] = aUpdate.mPeerPort;
  return view;
}

} // namespace

json::object StatusView(const Reducer& aReducer, TimePoint aNow)
{
  const Membership& membership = aReducer.GetMembership();
  const Configuration& configuration = aReducer.GetConfiguration();
  json::object view;
  view["vm"] = membership.Self().mVm.mName;
  view["incarnation"] = std::to_string(membership.Self().mIncarnation.mNumber);
  view["region"] = membership.SelfUpdate().mRegion.mName;
  view["failure_domain"] = membership.SelfUpdate().mFailureDomain.mName;
  view["stage"] = NameOf(aReducer.GetDrain().Stage());
  view["revision"] = configuration.Current()->mRevision.mNumber;
  view["store_behind"] = configuration.IsStoreBehind();
  if (const auto age = membership.FreshestStoreContact(aNow)) {
    view["store_contact_age_ms"] = MillisecondsOf(*age);
  }
  view["serves_keyed_requests"] = IsCurrent(aReducer, aNow);
  view["reaches_servers"] = !aReducer.GetServerReach().IsCutOff();
  view["usable_members"] = membership.UsableCount();
  view["owned_slots"] = OwnedSlots(aReducer);
  view["in_flight"] = aReducer.GetRequests().InFlight();
  view["requests"] = CountersView(aReducer.GetRequests().Counters());
  view["services"] = ServicesView(aReducer, aNow);
  view["accounts"] = AccountsView(aReducer, aNow);
  view["shifts"] = ShiftsView(aReducer);
  return view;
}

json::array MembersView(const Reducer& aReducer, TimePoint aNow)
{
  json::array members;
  json::object self = MemberView(aReducer.GetMembership().SelfUpdate());
  self["self"] = true;
  members.push_back(std::move(self));
  for (const auto& [vm, member] : aReducer.GetMembership().Members()) {
    json::object view = MemberView(member.mUpdate);
    view["since_ms"] = MillisecondsOf(aNow - member.mSince);
    members.push_back(std::move(view));
  }
  return members;
}

json::object TimelineView(const Timeline& aTimeline, std::uint64_t aSince)
{
  json::array entries;
  for (const TimelineEntry& entry : aTimeline.Since(aSince)) {
    json::object fields;
    for (const effect::Field& field : entry.mRecord.mFields) {
      fields[field.mName] = field.mValue;
    }
    json::object view;
    view["number"] = entry.mNumber;
    view["time_ms"] = entry.mWallMs;
    view["event"] = entry.mRecord.mName;
    view["fields"] = std::move(fields);
    entries.push_back(std::move(view));
  }
  json::object view;
  view["entries"] = std::move(entries);
  view["next"] = aTimeline.NextNumber();
  return view;
}

json::array PolicyView(const std::vector<PolicySource>& aSources)
{
  json::array fields;
  for (const PolicySource& source : aSources) {
    json::object view;
    view["field"] = source.mField;
    view["value"] = source.mValue;
    view["node"] = source.mNode;
    fields.push_back(std::move(view));
  }
  return fields;
}

void WriteCoreMetrics(const Reducer& aReducer,
                      TimePoint aNow,
                      MetricsWriter& aOut)
{
  const auto number = [](std::uint64_t aValue) {
    return static_cast<double>(aValue);
  };
  const PipelineCounters& counters = aReducer.GetRequests().Counters();
  const Membership& membership = aReducer.GetMembership();
  aOut.Gauge("cranberrywing_revision",
             "Revision of the settings in force.",
             number(aReducer.GetConfiguration().Current()->mRevision.mNumber));
  aOut.Gauge("cranberrywing_usable_members",
             "VMs that can take new requests, including this one.",
             number(membership.UsableCount()));
  aOut.Gauge(
    "cranberrywing_serves_keyed_requests",
    "1 while this VM is not isolated and serves requests that need an API "
    "key: it cannot have missed key withdrawals for longer than "
    "isolation_limit allows.",
    IsCurrent(aReducer, aNow) ? 1 : 0);
  aOut.Gauge("cranberrywing_servers_reached",
             "0 while the links to all backend servers are lost, or else 1.",
             aReducer.GetServerReach().IsCutOff() ? 0 : 1);
  aOut.Gauge("cranberrywing_owned_slots",
             "Execution slots owned by this VM.",
             number(OwnedSlots(aReducer)));
  aOut.Gauge("cranberrywing_requests_in_flight",
             "Requests that have not been answered yet.",
             number(aReducer.GetRequests().InFlight()));
  aOut.Counter("cranberrywing_retries_total",
               "Attempts after the first one.",
               number(counters.mRetried));
  aOut.Counter("cranberrywing_forwarded_total",
               "Requests forwarded to the VM that owns their slot.",
               number(counters.mForwarded));
  aOut.Counter("cranberrywing_replayed_total",
               "Requests answered with the answer of an earlier execution.",
               number(counters.mReplayed));
  for (const std::uint16_t code : SortedKeys(counters.mRefusedByCode)) {
    aOut.Counter(
      "cranberrywing_refusals_total",
      "Refusals by result code.",
      number(counters.mRefusedByCode.at(code)),
      { { "code", std::string(ToString(static_cast<ResultCode>(code))) } });
  }
}

} // namespace cranberrywing::daemon
