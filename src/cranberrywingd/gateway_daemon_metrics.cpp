// The metrics page of the gateway.
#include "cranberrywingd/gateway_daemon.h"

namespace cranberrywing::daemon {

namespace {

/// Value of a metric of one server, with the source of what it shows.
struct ServerSample
{
  double mValue = 0;
  std::string mSource;
};

/// Writes one sample for each server that has one.
void WriteServerGauge(
  const gateway::BackendPool& aPool,
  std::string_view aName,
  std::string_view aHelp,
  const std::function<std::optional<ServerSample>(const gateway::Backend&)>&
    aSample,
  MetricsWriter& aWriter)
{
  for (const auto& [id, backend] : aPool.All()) {
    if (const auto sample = aSample(*backend)) {
      std::vector<MetricLabel> labels{ { "backend", id.mName } };
      if (!sample->mSource.empty()) {
        labels.push_back({ "source", sample->mSource });
      }
      aWriter.Gauge(aName, aHelp, sample->mValue, labels);
    }
  }
}

/// Writes why servers get no requests, or fewer: what they said of themselves,
/// and what this VM has concluded from its own failures.
void WriteServerStates(const gateway::BackendPool& aPool,
                       TimePoint aNow,
                       MetricsWriter& aWriter)
{
  using Sample = std::optional<ServerSample>;
  const auto seconds = [](Duration aDuration) {
    return std::chrono::duration<double>(aDuration).count();
  };
  WriteServerGauge(
    aPool,
    "cranberrywing_backend_leaving_seconds",
    "Time since a server is known to have said that it is leaving.",
    [&](const gateway::Backend& aBackend) -> Sample {
      const gateway::Notice* const notice =
        aPool.Notices().FindLeaving(aBackend.mLifetimeHash);
      return notice ? Sample({ seconds(aNow - notice->mTime),
                               std::string(ToString(notice->mSource)) })
                    : std::nullopt;
    },
    aWriter);
  WriteServerGauge(
    aPool,
    "cranberrywing_backend_wait_seconds",
    "Time left for which a server has asked this VM to send nothing.",
    [&](const gateway::Backend& aBackend) -> Sample {
      const gateway::Notice* const notice =
        aPool.Notices().FindWait(aBackend.mLifetimeHash);
      return notice ? Sample({ seconds(notice->mTime - aNow),
                               std::string(ToString(notice->mSource)) })
                    : std::nullopt;
    },
    aWriter);
  WriteServerGauge(
    aPool,
    "cranberrywing_backend_rate_limit",
    "Requests per second that a server accepts from all VMs together.",
    [&](const gateway::Backend& aBackend) -> Sample {
      return aPool.IsRateLimited(aBackend, aNow)
               ? Sample({ aBackend.mRateLimit.mPerSecond.value_or(0), {} })
               : std::nullopt;
    },
    aWriter);
  WriteServerGauge(
    aPool,
    "cranberrywing_backend_ejected_seconds",
    "Time left until a server that failed requests of this VM gets a health "
    "check; negative while that is due.",
    [&](const gateway::Backend& aBackend) -> Sample {
      return aBackend.mNeedsProbe
               ? Sample({ seconds(aBackend.mEjectedUntil - aNow), {} })
               : std::nullopt;
    },
    aWriter);
}

/// Writes what this VM knows and decides of object placements.
void WritePlacements(const gateway::Gateway& aGateway,
                     TimePoint aNow,
                     MetricsWriter& aWriter)
{
  const gateway::PlacementExchange& placements = aGateway.Placements();
  aWriter.Gauge("cranberrywing_object_placements",
                "Placements of objects in force, of the servers of all "
                "regions.",
                static_cast<double>(placements.EntryCount(aNow)));
  aWriter.Gauge("cranberrywing_object_placing_vm",
                "1 if this VM places the objects of its region's servers, or "
                "else 0.",
                placements.IsPlacing() ? 1 : 0);
  aWriter.Counter("cranberrywing_object_moves_total",
                  "Placements of objects that this VM decided.",
                  static_cast<double>(aGateway.Counters().mObjectMoves));
  if (const auto latest = placements.LatestEntryAt(aNow)) {
    aWriter.Gauge("cranberrywing_object_placement_age_seconds",
                  "Time since a placement in force was last received, or was "
                  "confirmed by this VM.",
                  std::chrono::duration<double>(aNow - *latest).count());
  }
}

} // namespace

AnswerContentPtr GatewayDaemon::WriteMetricsPage() const
{
  MetricsWriter writer;
  WriteMetrics(mMetrics, writer);
  const gateway::GatewayCounters& counters = mGateway.Counters();
  writer.Counter("cranberrywing_requests_answered_total",
                 "Requests answered by a backend server.",
                 static_cast<double>(counters.mAnswered));
  writer.Counter("cranberrywing_dispatches_total",
                 "Requests sent to backend servers.",
                 static_cast<double>(counters.mDispatched));
  writer.Counter("cranberrywing_retries_total",
                 "Requests sent again after a failed attempt.",
                 static_cast<double>(counters.mRetries));
  writer.Counter("cranberrywing_requests_cancelled_total",
                 "Requests whose caller disconnected.",
                 static_cast<double>(counters.mCancelled));
  for (const auto& [code, count] : counters.mRefused) {
    writer.Counter("cranberrywing_requests_refused_total",
                   "Requests refused, by reason.",
                   static_cast<double>(count),
                   { { "code", std::string(ToString(code)) } });
  }
  writer.Counter("cranberrywing_backend_connect_failures_total",
                 "Attempts for which no connection to the server was opened.",
                 static_cast<double>(counters.mConnectFailures));
  writer.Counter("cranberrywing_server_link_losses_total",
                 "Times that the links to all backend servers were lost.",
                 static_cast<double>(counters.mServerLinkLosses));
  writer.Gauge("cranberrywing_servers_reached",
               "0 while the links to all backend servers are lost, or else 1.",
               mGateway.IsCutOff() ? 0 : 1);
  WriteServerStates(mGateway.Pool(), ReadClock(), writer);
  WritePlacements(mGateway, ReadClock(), writer);
  writer.Counter("cranberrywing_policy_problems_total",
                 "Parts of configurations that could not be read.",
                 static_cast<double>(counters.mPolicyProblems));
  writer.Gauge("cranberrywing_requests_in_flight",
               "Requests that have not been answered yet.",
               static_cast<double>(mGateway.InFlight()));
  writer.Gauge("cranberrywing_vms",
               "VMs that share fleet-wide limits.",
               static_cast<double>(mGateway.Fleet().SharingVmCount()));
  writer.Gauge("cranberrywing_requests_blocked",
               "Requests that are refused since they crashed servers.",
               static_cast<double>(mGateway.BlockedRequests()));
  const gateway::CallerVmCounts callerVms =
    mGateway.CountCallerVms(ReadClock());
  writer.Gauge("cranberrywing_caller_vms",
               "VMs to which callers of this VM's region are directed.",
               static_cast<double>(callerVms.mNamed));
  writer.Gauge("cranberrywing_caller_vms_left_out",
               "Usable VMs that lookups leave out because of slow links.",
               static_cast<double>(callerVms.mLeftOut));
  writer.Gauge("cranberrywing_named_in_lookups",
               "Whether lookups for this VM's region name this VM.",
               callerVms.mNamesSelf ? 1 : 0);
  writer.Gauge("cranberrywing_store_revision",
               "Revision of this VM's copy of the store.",
               static_cast<double>(mStore.KnownPosition().mRevision));
  writer.Gauge("cranberrywing_request_body_bytes",
               "Memory for the bodies of requests that have no answer yet.",
               static_cast<double>(mCallers.BodyMemory()));
  writer.Counter("cranberrywing_request_bodies_refused_total",
                 "Requests refused since there was no memory for their bodies.",
                 mCallers.MemoryRejections());
  writer.Gauge("cranberrywing_response_held_bytes",
               "Memory for responses that callers have not received yet.",
               static_cast<double>(mCallers.HeldBytes()));
  writer.Counter("cranberrywing_response_read_pauses_total",
                 "Times that a connection's requests were not read since it "
                 "held more than its share of that memory.",
                 mCallers.ReadPauses());
  writer.Counter("cranberrywing_slow_clients_closed_total",
                 "Connections closed since their callers did not take "
                 "responses while that memory was used up.",
                 mCallers.SlowClientsClosed());
  writer.Gauge("cranberrywing_store_epoch",
               "Number of times that the store was restored from a copy.",
               static_cast<double>(mStore.KnownPosition().mEpoch));
  writer.Gauge("cranberrywing_store_carried_entries",
               "Entries that are kept although the restored store lacks them.",
               static_cast<double>(mStore.Carried().size()));
  if (const auto age = mGateway.StoreAge(ReadClock())) {
    writer.Gauge("cranberrywing_store_age_seconds",
                 "Time since the store confirmed this VM's copy, directly or "
                 "through other VMs.",
                 std::chrono::duration<double>(*age).count());
  }
  writer.Counter("cranberrywing_store_pulls_total",
                 "Requests to other VMs for changes of the store.",
                 static_cast<double>(mStorePulls));
  writer.Counter("cranberrywing_backend_connections_total",
                 "Connections opened to backend servers.",
                 static_cast<double>(mBackends.OpenedCount()));
  writer.Counter("cranberrywing_backend_connections_passed_over_total",
                 "Idle connections to backend servers that were closed for a "
                 "new one, as they may not carry a request or health check.",
                 static_cast<double>(mBackends.PassedOverCount()));
  writer.Counter("cranberrywing_log_lines_dropped_total",
                 "Log lines dropped because of a limit.",
                 static_cast<double>(mLog.Dropped()));
  AnswerContent page;
  page.mStatus = 200;
  page.mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } };
  page.mBody = writer.Take();
  return std::make_shared<const AnswerContent>(std::move(page));
}

} // namespace cranberrywing::daemon
