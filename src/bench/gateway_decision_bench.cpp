// Measures the CPU time of a gateway's decision on a request, from its arrival
// to the dispatch and the server's answer, with 200 servers in three regions:
// without object placement, with it, and with all objects placed that are
// served in other regions.
#include <benchmark/benchmark.h>

#include "cranberrywing/gateway/gateway.h"

namespace cranberrywing::gateway {
namespace {

constexpr int kServers = 204;
constexpr int kObjects = 288;

/// Argument of the benchmarks.
enum Placement
{
  Off,
  On,
  Placed
};

/// A gateway that answers each request at once.
class DecisionModel
{
public:
  explicit DecisionModel(std::int64_t aPlacement)
    : mPlacement(aPlacement)
    , mGateway({ .mSelf = { .mVm = VmId("vm-1"),
                            .mIncarnation = { 7 },
                            .mRegion = RegionId("r0"),
                            .mFailureDomain = FailureDomainId("a") },
                 .mPlacesObjects = aPlacement != Off })
  {
    RoutePolicy route;
    route.mRoute = RouteId("tiles");
    route.mHost = "maps";
    route.mPrefix = "/";
    route.mIsIdempotent = true;
    route.mIsPublic = true;
    route.mTimeout = std::chrono::seconds(2);
    route.mTargetLatency = std::chrono::milliseconds(1200);
    route.mServices = { { ServiceId("tiles"), 1 } };
    route.mMaxAttempts = 2;
    PolicyContent content;
    content.mRevision = { 1 };
    content.mServices = { { .mService = ServiceId("tiles") } };
    content.mRoutes = { route };
    Deliver(event::PolicyReceived{ Policy::Make(std::move(content)) });
    for (int n = 0; n < kServers; ++n) {
      Deliver(event::BackendRegistered{
        { .mBackend = BackendId("s" + std::to_string(n)),
          .mService = ServiceId("tiles"),
          .mAddress = "10.1.0.1",
          .mPort = static_cast<std::uint16_t>(9000 + n),
          .mFailureDomain = FailureDomainId("a"),
          .mRegion = RegionId("r" + std::to_string(n % 3)),
          .mSlots = 9 } });
    }
    for (const char* const region : { "r1", "r2" }) {
      Deliver(event::VmRegistered{ { .mVm = VmId(region),
                                     .mIncarnation = { 1 },
                                     .mRegion = RegionId(region) } });
    }
    Deliver(event::RegistrationsComplete{});
    Advance(std::chrono::seconds(3));
  }

  EffectList& Deliver(const Event& aEvent)
  {
    mEffects = mGateway.Reduce(aEvent, mNow);
    return mEffects;
  }

  void Advance(Duration aTime)
  {
    mNow += aTime;
    Deliver(event::Tick{});
    if (mPlacement == Placed && mNow >= mNextPlacements) {
      mNextPlacements = mNow + std::chrono::seconds(4);
      TellPlacements("r1", 1);
      TellPlacements("r2", 2);
    }
  }

  /// Places each object at one server of the region.
  void TellPlacements(const char* aRegion, int aFirstServer)
  {
    message::ObjectPlacements placements{ .mNumber = 1 };
    for (int n = 0; n < kObjects; ++n) {
      const int server = (aFirstServer + 3 * n) % kServers;
      placements.mObjects.push_back(
        { HashObject(ServiceId("tiles"), std::to_string(n)),
          { mGateway.Pool()
              .Find(BackendId("s" + std::to_string(server)))
              ->mLifetimeHash } });
    }
    Deliver(event::PeerMessageReceived{ .mFrom = { VmId(aRegion), { 1 } },
                                        .mMessage = placements });
  }

  void Request(int aObject)
  {
    const RequestId id{ ++mRequests };
    mArrival.mRequest = id;
    mArrival.mObject = std::to_string(aObject);
    Deliver(mArrival);
    for (const Effect& effect : std::exchange(mEffects, {})) {
      if (const auto* const dispatch = std::get_if<effect::Dispatch>(&effect)) {
        Deliver(
          event::BackendReplied{ .mRequest = id,
                                 .mAttempt = dispatch->mAttempt,
                                 .mKind = event::ReplyKind::Answer,
                                 .mAnswer = mAnswer,
                                 .mLatency = std::chrono::milliseconds(600) });
      }
    }
  }

private:
  std::int64_t mPlacement;
  TimePoint mNow{ std::chrono::seconds(1000) };
  TimePoint mNextPlacements{};
  std::uint64_t mRequests = 0;
  Gateway mGateway;
  EffectList mEffects;
  const AnswerContentPtr mAnswer =
    std::make_shared<const AnswerContent>(AnswerContent{ .mStatus = 200 });
  event::RequestArrived mArrival{
    .mContent = std::make_shared<const RequestContent>(
      RequestContent{ .mMethod = "GET", .mTarget = "/" }),
    .mHost = "maps",
    .mTimeBudget = std::chrono::seconds(2)
  };
};

void Decide(benchmark::State& aState)
{
  DecisionModel model(aState.range(0));
  int n = 0;
  for (auto _ : aState) {
    model.Request(n++ % kObjects);
    if (n % 5 == 0) {
      aState.PauseTiming();
      model.Advance(std::chrono::milliseconds(25));
      aState.ResumeTiming();
    }
  }
}

/// A tick after 5 requests.
void Tick(benchmark::State& aState)
{
  DecisionModel model(aState.range(0));
  int n = 0;
  for (auto _ : aState) {
    aState.PauseTiming();
    for (int request = 0; request < 5; ++request) {
      model.Request(n++ % kObjects);
    }
    aState.ResumeTiming();
    model.Advance(std::chrono::milliseconds(25));
  }
}

BENCHMARK(Decide)->Arg(Off)->Arg(On)->Arg(Placed);
BENCHMARK(Tick)->Arg(Off)->Arg(On)->Arg(Placed);

} // namespace
} // namespace cranberrywing::gateway

BENCHMARK_MAIN();
