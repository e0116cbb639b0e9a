// Measures the reducer's events per second on one core, and its memory per
// member and per request in flight. The store is in memory and replies at once;
// the clock is virtual.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <string>

#include "cranberrywing/keys.h"
#include "cranberrywing/reducer.h"
#include "cranberrywing/settings.h"
#include "testing/execution_store.h"

namespace {

using namespace cranberrywing;
using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 1;
constexpr std::int64_t kWallSeconds = 1'700'000'000;
constexpr int kBackends = 30;
/// Virtual time in which the reducer acquires its shares and slots.
constexpr Duration kWarmUp = 30s;
constexpr std::string_view kPepper = "pepper-for-benchmarks";
constexpr std::string_view kKey = "benchmark-key";

std::size_t AllocatedBytes()
{
  return mallinfo2().uordblks;
}

/// One region with 30 servers, as the ordering service has in Ghana, and one
/// account with a rate that is never reached.
std::string MakeDocument()
{
  std::string text = "format: 1\nfleet: {isolation_limit: 0s, key_pepper: ";
  text += kPepper;
  text += ", ticket_secret: secret-for-benchmarks}\n"
          "regions: {r0: {failure_domains: [d0, d1]}}\n"
          "vms: {vm-0: {region: r0, failure_domain: d0, site: s0, address: "
          "10.0.0.1, caller_port: 80, peer_port: 81, admin_port: 82}}\n"
          "accounts: {shops: {rate: 1000000000, burst: 1000000000, keys: "
          "[{name: k, digest: ";
  text += DigestKey(std::string(kKey), kPepper).mHex;
  text += "}]}}\nservices:\n  ordering:\n    routes: {prices: {method: GET, "
          "path: /prices, idempotent: true}}\n    backends:\n";
  for (int n = 0; n < kBackends; ++n) {
    text += "      b" + std::to_string(n) + ": {region: r0, failure_domain: d" +
            std::to_string(n % 2) + ", address: 10.1.0." + std::to_string(n) +
            ", port: 9000, connections: 100000, capacity: 1000000}\n";
  }
  return text + "root: {timeout: 10m}\n";
}

MemberUpdate MakeMember(std::size_t aNumber)
{
  return { .mMember = { VmId("vm-" + std::to_string(aNumber)),
                        Incarnation{ 1 } },
           .mAddress = "10.0.0.1",
           .mPeerPort = 81,
           .mCallerPort = 80,
           .mRegion = RegionId("r0"),
           .mFailureDomain = FailureDomainId("d" + std::to_string(aNumber % 2)),
           .mSite = SiteId("s0") };
}

/// A reducer with an in-memory store, healthy servers and simulated peers.
class Node
{
public:
  explicit Node(std::size_t aPeers)
    : mReducer({ .mSelf = MakeMember(0),
                 .mInitialDocument = MakeDocument(),
                 .mSeed = kSeed })
    , mPeers(aPeers)
  {
    const auto settings = ParseSettings(MakeDocument(), Revision{ 1 });
    if (!settings) {
      std::fprintf(stderr, "%s\n", settings.error().mMessage.c_str());
      std::exit(1);
    }
    ApplyEffects(mReducer.Start(mNow, kWallSeconds));
    while (mNow < TimePoint{ kWarmUp }) {
      Step();
    }
  }

  EffectList Reduce(const Event& aEvent)
  {
    ++mEvents;
    return mReducer.Reduce(aEvent, mNow, kWallSeconds);
  }

  /// Advances the clock by one tick and handles all events that follow from it.
  void Step()
  {
    mNow += event::kTickInterval;
    ApplyEffects(Reduce(event::Tick{}));
  }

  /// Feeds the responses to the effects back to the reducer until none is left.
  void ApplyEffects(const EffectList& aEffects)
  {
    QueueResponses(aEffects);
    while (!mPendingEvents.empty()) {
      const Event next = std::move(mPendingEvents.front());
      mPendingEvents.pop_front();
      QueueResponses(Reduce(next));
    }
  }

  /// Probe from a peer that gossips about itself and one other member.
  Event MakeProbe(std::size_t aPeer)
  {
    message::Probe probe{ .mSequence = ++mSequence };
    probe.mGossip = MakeGossip(aPeer);
    return event::PeerMessageReceived{ .mFrom = MakeMember(aPeer).mMember,
                                       .mMessage = std::move(probe) };
  }

  void ProbeFromAll()
  {
    for (std::size_t n = 1; n <= mPeers; ++n) {
      Reduce(MakeProbe(n));
    }
  }

  Event MakeRequest()
  {
    return event::RequestArrived{ .mRequest = RequestId{ ++mRequest },
                                  .mCaller = CallerId{ 1 },
                                  .mKey = std::string(kKey),
                                  .mContent = mContent };
  }

  /// Starts a request. Returns its dispatch, or nullopt if it was refused.
  std::optional<effect::Dispatch> StartRequest()
  {
    for (Effect& effect : Reduce(MakeRequest())) {
      if (auto* dispatch = std::get_if<effect::Dispatch>(&effect)) {
        return std::move(*dispatch);
      }
      if (const auto* refuse = std::get_if<effect::Refuse>(&effect)) {
        mRefusal = refuse->mRefusal.mDetail;
      }
    }
    return std::nullopt;
  }

  void Answer(const effect::Dispatch& aDispatch)
  {
    Reduce(event::BackendResponded{ .mRequest = aDispatch.mRequest,
                                    .mAttempt = aDispatch.mAttempt,
                                    .mAnswer = mAnswer,
                                    .mLatency = 5ms });
  }

  Reducer mReducer;
  TimePoint mNow{ 1ms };
  std::uint64_t mEvents = 0;
  /// Reason for the last refusal.
  std::string mRefusal = "the request was not dispatched";

private:
  Gossip MakeGossip(std::size_t aPeer) const
  {
    return { .mVersion = mReducer.GetConfiguration().Version(),
             .mKnownMembers = static_cast<std::uint32_t>(mPeers),
             .mUpdates = { MakeMember(aPeer),
                           MakeMember(aPeer % mPeers + 1) } };
  }

  /// Queues a peer's acknowledgement of a probe, so that no peer is suspected.
  void Acknowledge(const effect::SendMessage& aMessage)
  {
    const auto* probe = std::get_if<message::Probe>(&aMessage.mMessage);
    if (!probe || aMessage.mTo.IsEmpty()) {
      return;
    }
    const std::size_t peer = std::stoul(aMessage.mTo.mName.substr(3));
    const VmIncarnation from = MakeMember(peer).mMember;
    mPendingEvents.push_back(event::PeerMessageReceived{
      .mFrom = from,
      .mMessage = message::ProbeAck{ .mSequence = probe->mSequence,
                                     .mTarget = from,
                                     .mGossip = MakeGossip(peer) } });
  }

  /// Queues the responses of the store, servers and peers to the effects.
  void QueueResponses(const EffectList& aEffects)
  {
    for (const Effect& effect : aEffects) {
      if (const auto* call = std::get_if<effect::CallStore>(&effect)) {
        mPendingEvents.push_back(event::StoreReplied{
          .mCall = call->mCall, .mReply = mStore.Apply(call->mRequest, mNow) });
      } else if (const auto* probe =
                   std::get_if<effect::ProbeBackend>(&effect)) {
        mPendingEvents.push_back(
          event::HealthReported{ .mBackend = probe->mBackend,
                                 .mHealthy = true,
                                 .mHasAnswered = true });
      } else if (const auto* send = std::get_if<effect::SendMessage>(&effect)) {
        Acknowledge(*send);
      }
    }
  }

  std::size_t mPeers;
  execution_testing::MemoryStore mStore;
  std::deque<Event> mPendingEvents;
  std::uint64_t mSequence = 0;
  std::uint64_t mRequest = 0;
  RequestContentPtr mContent = std::make_shared<RequestContent>(
    RequestContent{ .mMethod = "GET", .mTarget = "/prices" });
  AnswerContentPtr mAnswer = std::make_shared<AnswerContent>(
    AnswerContent{ .mStatus = 200, .mBody = std::string(200, 'x') });
};

void ReportRate(benchmark::State& aState, std::uint64_t aEvents)
{
  aState.counters["events/s"] = benchmark::Counter(static_cast<double>(aEvents),
                                                   benchmark::Counter::kIsRate);
}

/// Ticks without any advance of the clock, so that no periodic work is due.
/// Argument: number of peers.
void IdleTicks(benchmark::State& aState)
{
  Node node(static_cast<std::size_t>(aState.range(0)));
  node.ProbeFromAll();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(node.Reduce(event::Tick{}));
  }
  ReportRate(aState, static_cast<std::uint64_t>(aState.iterations()));
}

/// Ticks 10 ms apart with all events that follow from them, which are counted
/// too: probes, acknowledgements and store replies. Argument: number of peers.
void TimedTicks(benchmark::State& aState)
{
  Node node(static_cast<std::size_t>(aState.range(0)));
  node.ProbeFromAll();
  const std::uint64_t before = node.mEvents;
  for (auto _ : aState) {
    node.Step();
  }
  ReportRate(aState, node.mEvents - before);
}

/// Arrival and answer of idempotent requests. Argument: number of peers.
void IdempotentRequests(benchmark::State& aState)
{
  Node node(static_cast<std::size_t>(aState.range(0)));
  node.ProbeFromAll();
  std::uint64_t count = 0;
  for (auto _ : aState) {
    const auto dispatch = node.StartRequest();
    if (!dispatch) {
      aState.SkipWithError(node.mRefusal.c_str());
      return;
    }
    node.Answer(*dispatch);
    // 50 us per request, as at 20,000 requests per second, without ticks.
    count += 2;
    node.mNow += 50us;
  }
  ReportRate(aState, count);
}

/// Probes received from peers. Argument: number of peers.
void PeerProbes(benchmark::State& aState)
{
  const auto peers = static_cast<std::size_t>(aState.range(0));
  Node node(peers);
  node.ProbeFromAll();
  std::vector<Event> probes;
  for (std::size_t n = 1; n <= peers; ++n) {
    probes.push_back(node.MakeProbe(n));
  }
  std::size_t n = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(node.Reduce(probes[n++ % peers]));
  }
  ReportRate(aState, static_cast<std::uint64_t>(aState.iterations()));
}

/// Heap bytes per member. Argument: number of peers.
void MemberMemory(benchmark::State& aState)
{
  const auto peers = static_cast<std::size_t>(aState.range(0));
  for (auto _ : aState) {
    Node node(peers);
    const std::size_t before = AllocatedBytes();
    node.ProbeFromAll();
    aState.counters["bytes/member"] =
      static_cast<double>(AllocatedBytes() - before) /
      static_cast<double>(node.mReducer.GetMembership().Members().size());
  }
}

/// Heap bytes per request in flight. Argument: number of requests.
void RequestMemory(benchmark::State& aState)
{
  for (auto _ : aState) {
    Node node(1);
    const std::size_t before = AllocatedBytes();
    for (std::int64_t n = 0; n < aState.range(0); ++n) {
      node.StartRequest();
    }
    aState.counters["in_flight"] =
      static_cast<double>(node.mReducer.GetRequests().InFlight());
    aState.counters["bytes/request"] =
      static_cast<double>(AllocatedBytes() - before) /
      static_cast<double>(node.mReducer.GetRequests().InFlight());
  }
}

BENCHMARK(IdleTicks)->ArgName("peers")->Arg(10)->Arg(115)->Arg(459);
BENCHMARK(TimedTicks)->ArgName("peers")->Arg(10)->Arg(115)->Arg(459);
BENCHMARK(IdempotentRequests)->ArgName("peers")->Arg(10)->Arg(115)->Arg(459);
BENCHMARK(PeerProbes)->ArgName("peers")->Arg(10)->Arg(115)->Arg(459);
BENCHMARK(MemberMemory)
  ->ArgName("peers")
  ->Arg(115)
  ->Arg(230)
  ->Arg(459)
  ->Iterations(1);
BENCHMARK(RequestMemory)
  ->ArgName("requests")
  ->Arg(1'000)
  ->Arg(10'000)
  ->Iterations(1);

} // namespace

BENCHMARK_MAIN();
