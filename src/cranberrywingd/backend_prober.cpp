#include "cranberrywingd/backend_prober.h"

#include <cmath>

#include "cranberrywingd/backend_client.h"
#include "netutil/json.h"

namespace cranberrywing::daemon {

namespace {

/// A probe takes about 6 ms; a server that needs a second counts as unhealthy.
constexpr std::chrono::seconds kProbeTimeout{ 1 };
constexpr std::uint32_t kMaxReportBytes = 64 * 1024;

/// The number if it is finite and positive, otherwise 0, so that malformed
/// reports cannot distort comparisons and sums.
double FinitePositiveOrZero(std::optional<double> aNumber)
{
  return aNumber && std::isfinite(*aNumber) && *aNumber > 0 ? *aNumber : 0;
}

} // namespace

event::HealthReported ReadHealth(const BackendId& aBackend,
                                 const netutil::ExchangeResult& aResult)
{
  event::HealthReported report;
  report.mBackend = aBackend;
  if (!aResult) {
    return report;
  }
  report.mHasAnswered = true;
  report.mHealthy = aResult->mStatus == 200;
  if (const auto body = netutil::ParseObject(aResult->mBody)) {
    report.mDraining = netutil::FindString(*body, "status") == "draining";
  }
  return report;
}

std::optional<event::LoadReport> ReadLoad(
  const netutil::ExchangeResult& aResult)
{
  if (!aResult || aResult->mStatus != 200) {
    return std::nullopt;
  }
  const auto body = netutil::ParseObject(aResult->mBody);
  if (!body || !netutil::FindNumber(*body, "cpu_utilization")) {
    return std::nullopt;
  }
  event::LoadReport report;
  report.mUtilization =
    FinitePositiveOrZero(netutil::FindNumber(*body, "cpu_utilization"));
  report.mRequestsPerSecond =
    FinitePositiveOrZero(netutil::FindNumber(*body, "rps_fractional"));
  if (const auto* metrics = netutil::FindObject(*body, "named_metrics")) {
    const double inFlight =
      FinitePositiveOrZero(netutil::FindNumber(*metrics, "in_flight"));
    report.mInFlight = static_cast<std::uint32_t>(std::min(inFlight, 1e9));
  }
  return report;
}

BackendProber::BackendProber(boost::asio::io_context& aContext, EventSink aSink)
  : mSink(std::move(aSink))
  , mPool(aContext,
          { .mClient = { .mMaxHeaderBytes = kMaxReportBytes,
                         .mMaxBodyBytes = kMaxReportBytes },
            .mMaxIdlePerServer = 2,
            .mIdleTimeout = std::chrono::seconds(30) })
{
}

void BackendProber::Execute(const effect::ProbeBackend& aEffect)
{
  const netutil::Endpoint endpoint{ aEffect.mAddress, aEffect.mPort };
  const BackendId backend = aEffect.mBackend;
  SendGet(
    endpoint, "/healthz", [this, backend](netutil::ExchangeResult aResult) {
      mSink(ReadHealth(backend, aResult));
    });
  SendGet(endpoint, "/load", [this, backend](netutil::ExchangeResult aResult) {
    if (const auto report = ReadLoad(aResult)) {
      mSink(event::LoadReported{ .mBackend = backend, .mReport = *report });
    }
  });
}

void BackendProber::SendGet(const netutil::Endpoint& aEndpoint,
                            const std::string& aTarget,
                            netutil::ExchangeHandler aHandler)
{
  RequestContent request;
  request.mMethod = "GET";
  request.mTarget = aTarget;
  const std::string id = "probe-" + std::to_string(++mProbes);
  mPool.Start(aEndpoint,
              std::make_shared<const RequestContent>(std::move(request)),
              { { std::string(kAttemptHeader), id } },
              kProbeTimeout,
              std::move(aHandler),
              { .mId = id,
                .mFilter = [id](const AnswerContent& aAnswer,
                                netutil::ConnectionUse aUse) {
                  return IsAnswerToAttempt(aAnswer, id, aUse);
                } });
}

} // namespace cranberrywing::daemon
