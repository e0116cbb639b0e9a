#include "cranberrywingd/metrics.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace cranberrywing::daemon {

namespace acc = boost::accumulators;

namespace {

/// The P-square estimator keeps 2n + 3 markers for n quantiles and gives no
/// estimate until each marker has a sample.
constexpr std::size_t kMinSamples = 2 * LatencySummary::kQuantiles.size() + 3;

std::string NumberText(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + 32, aValue);
  return { text.data(), end.ptr };
}

std::string EscapeLabel(std::string_view aValue)
{
  std::string text;
  for (const char character : aValue) {
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    text += character;
  }
  return text;
}

} // namespace

LatencySummary::Accumulator LatencySummary::MakeAccumulator()
{
  return Accumulator(acc::extended_p_square_probabilities = kQuantiles);
}

LatencySummary::LatencySummary(Duration aWindow)
  : mWindow(aWindow)
  , mCurrent(MakeAccumulator())
  , mPrevious(MakeAccumulator())
{
}

void LatencySummary::Add(Duration aLatency, TimePoint aNow)
{
  if (aNow - mWindowStart >= mWindow) {
    mPrevious = mCurrent;
    mCurrent = MakeAccumulator();
    mWindowStart = aNow;
  }
  const double seconds = ToSeconds(aLatency);
  mCurrent(seconds);
  ++mCount;
  mSum += seconds;
}

double LatencySummary::Quantile(std::size_t aIndex) const
{
  const bool hasPrevious = acc::count(mPrevious) >= kMinSamples;
  const Accumulator& source = hasPrevious ? mPrevious : mCurrent;
  if (acc::count(source) < kMinSamples) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  return acc::extended_p_square(source)[static_cast<std::ptrdiff_t>(aIndex)];
}

void MetricsWriter::WriteHeader(std::string_view aName,
                                std::string_view aHelp,
                                std::string_view aType)
{
  // Consecutive samples of one metric share one header.
  if (mLastHeader == aName) {
    return;
  }
  mLastHeader = aName;
  mText += "# HELP ";
  mText += aName;
  mText += ' ';
  mText += aHelp;
  mText += "\n# TYPE ";
  mText += aName;
  mText += ' ';
  mText += aType;
  mText += '\n';
}

void MetricsWriter::WriteSample(std::string_view aName,
                                const std::vector<MetricLabel>& aLabels,
                                double aValue)
{
  mText += aName;
  if (!aLabels.empty()) {
    mText += '{';
    for (const MetricLabel& label : aLabels) {
      if (mText.back() != '{') {
        mText += ',';
      }
      mText += label.mName + "=\"" + EscapeLabel(label.mValue) + "\"";
    }
    mText += '}';
  }
  mText += ' ' + NumberText(aValue) + '\n';
}

void MetricsWriter::Counter(std::string_view aName,
                            std::string_view aHelp,
                            double aValue,
                            const std::vector<MetricLabel>& aLabels)
{
  WriteHeader(aName, aHelp, "counter");
  WriteSample(aName, aLabels, aValue);
}

void MetricsWriter::Gauge(std::string_view aName,
                          std::string_view aHelp,
                          double aValue,
                          const std::vector<MetricLabel>& aLabels)
{
  WriteHeader(aName, aHelp, "gauge");
  WriteSample(aName, aLabels, aValue);
}

void MetricsWriter::Summary(std::string_view aName,
                            std::string_view aHelp,
                            const LatencySummary& aSummary)
{
  WriteHeader(aName, aHelp, "summary");
  for (std::size_t n = 0; n < LatencySummary::kQuantiles.size(); ++n) {
    WriteSample(aName,
                { { "quantile", NumberText(LatencySummary::kQuantiles[n]) } },
                aSummary.Quantile(n));
  }
  WriteSample(std::string(aName) + "_sum", {}, aSummary.SumSeconds());
  WriteSample(
    std::string(aName) + "_count", {}, static_cast<double>(aSummary.Count()));
}

void WriteMetrics(const DaemonMetrics& aMetrics, MetricsWriter& aOut)
{
  const auto number = [](std::uint64_t aValue) {
    return static_cast<double>(aValue);
  };
  aOut.Counter("cranberrywing_requests_total",
               "Requests received from callers.",
               number(aMetrics.mRequests));
  aOut.Counter("cranberrywing_lookups_total",
               "Lookups received from callers.",
               number(aMetrics.mLookups));
  aOut.Counter("cranberrywing_ticket_requests_total",
               "Requests for execution tickets.",
               number(aMetrics.mTickets));
  aOut.Counter("cranberrywing_callers_gone_total",
               "Requests whose caller disconnected before the answer.",
               number(aMetrics.mCallersDisconnected));
  for (const auto& [status, count] : aMetrics.mAnswersByStatus) {
    aOut.Counter("cranberrywing_answers_total",
                 "Answers to callers by HTTP status.",
                 number(count),
                 { { "status", std::to_string(status) } });
  }
  aOut.Counter("cranberrywing_backend_exchanges_total",
               "Requests sent to backend servers.",
               number(aMetrics.mBackendExchanges));
  aOut.Counter("cranberrywing_foreign_answers_total",
               "Skipped answers of backend servers to other requests.",
               number(aMetrics.mForeignAnswers));
  for (const auto& [kind, count] : aMetrics.mBackendFailures) {
    aOut.Counter("cranberrywing_backend_failures_total",
                 "Failed exchanges with backend servers by kind.",
                 number(count),
                 { { "kind", kind } });
  }
  aOut.Counter("cranberrywing_store_calls_total",
               "Calls to the store.",
               number(aMetrics.mStoreCalls));
  aOut.Counter("cranberrywing_store_failures_total",
               "Failed calls to the store.",
               number(aMetrics.mStoreFailures));
  aOut.Counter("cranberrywing_peer_datagrams_sent_total",
               "Datagrams sent to peers.",
               number(aMetrics.mDatagramsSent));
  aOut.Counter("cranberrywing_peer_datagrams_received_total",
               "Datagrams received from peers.",
               number(aMetrics.mDatagramsReceived));
  aOut.Counter("cranberrywing_peer_datagram_bytes_sent_total",
               "Bytes of datagrams sent to peers.",
               number(aMetrics.mDatagramBytesSent));
  aOut.Counter("cranberrywing_peer_stream_bytes_sent_total",
               "Bytes sent to peers over TCP.",
               number(aMetrics.mStreamBytesSent));
  aOut.Counter("cranberrywing_peer_messages_malformed_total",
               "Peer messages that could not be decoded.",
               number(aMetrics.mPeerMessagesMalformed));
  aOut.Counter(
    "cranberrywing_peer_messages_dropped_total",
    "Peer messages dropped: unknown address, send error or full queue.",
    number(aMetrics.mPeerMessagesDropped));
  aOut.Counter("cranberrywing_events_total",
               "Events delivered to the decision core.",
               number(aMetrics.mEvents));
  aOut.Summary("cranberrywing_request_seconds",
               "Time from a request's last byte to its answer.",
               aMetrics.mRequestLatency);
  aOut.Summary("cranberrywing_backend_seconds",
               "Time from dispatch to the backend server's complete answer.",
               aMetrics.mBackendLatency);
  aOut.Summary("cranberrywing_store_seconds",
               "Duration of answered calls to the store.",
               aMetrics.mStoreLatency);
}

} // namespace cranberrywing::daemon
