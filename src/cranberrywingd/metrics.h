/// \file
/// Counters and latency quantiles, and their Prometheus text format.
#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing::daemon {

/// Streaming estimates of latency quantiles over the last one to two windows.
/// Not thread-safe.
class LatencySummary
{
public:
  static constexpr std::array<double, 3> kQuantiles{ 0.5, 0.99, 0.999 };

  explicit LatencySummary(Duration aWindow = std::chrono::seconds(30));

  void Add(Duration aLatency, TimePoint aNow);
  /// Quantile in seconds; aIndex is an index into kQuantiles. NaN if there are
  /// too few samples.
  double Quantile(std::size_t aIndex) const;
  std::uint64_t Count() const { return mCount; }
  double SumSeconds() const { return mSum; }

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::extended_p_square>>;

  static Accumulator MakeAccumulator();

  Duration mWindow;
  TimePoint mWindowStart{};
  Accumulator mCurrent;
  Accumulator mPrevious;
  std::uint64_t mCount = 0;
  double mSum = 0;
};

/// Name and value of a label of a metric sample.
struct MetricLabel
{
  std::string mName;
  std::string mValue;
};

/// Writes metrics in the Prometheus text format. All samples of a metric must
/// be written one after the other. Not thread-safe.
class MetricsWriter
{
public:
  void Counter(std::string_view aName,
               std::string_view aHelp,
               double aValue,
               const std::vector<MetricLabel>& aLabels = {});
  void Gauge(std::string_view aName,
             std::string_view aHelp,
             double aValue,
             const std::vector<MetricLabel>& aLabels = {});
  void Summary(std::string_view aName,
               std::string_view aHelp,
               const LatencySummary& aSummary);
  std::string Take() { return std::move(mText); }

private:
  void WriteHeader(std::string_view aName,
                   std::string_view aHelp,
                   std::string_view aType);
  void WriteSample(std::string_view aName,
                   const std::vector<MetricLabel>& aLabels,
                   double aValue);

  std::string mText;
  std::string mLastHeader;
};

/// Counters and latencies of the I/O modules. Not synchronized: all modules run
/// on the event loop's thread.
struct DaemonMetrics
{
  std::uint64_t mRequests = 0;
  std::uint64_t mLookups = 0;
  std::uint64_t mTickets = 0;
  std::uint64_t mCallersDisconnected = 0;
  std::map<unsigned, std::uint64_t> mAnswersByStatus;
  std::uint64_t mBackendExchanges = 0;
  std::map<std::string, std::uint64_t> mBackendFailures;
  /// Answers of backend servers that belong to another request than the one in
  /// progress.
  std::uint64_t mForeignAnswers = 0;
  std::uint64_t mStoreCalls = 0;
  std::uint64_t mStoreFailures = 0;
  std::uint64_t mDatagramsSent = 0;
  std::uint64_t mDatagramsReceived = 0;
  std::uint64_t mDatagramBytesSent = 0;
  std::uint64_t mStreamBytesSent = 0;
  std::uint64_t mPeerMessagesMalformed = 0;
  std::uint64_t mPeerMessagesDropped = 0;
  std::uint64_t mEvents = 0;
  LatencySummary mRequestLatency;
  LatencySummary mBackendLatency;
  LatencySummary mStoreLatency;
};

/// Writes the metrics of the I/O modules. Not thread-safe.
void WriteMetrics(const DaemonMetrics& aMetrics, MetricsWriter& aOut);

} // namespace cranberrywing::daemon
