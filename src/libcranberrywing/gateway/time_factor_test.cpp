/// \file
/// Servers that share machines with others, and state how long work takes there
/// at the moment.
#include <algorithm>
#include <limits>

#include "gateway_test_fleet.h"

namespace cranberrywing::gateway {
namespace {

using testing::GatewayFixture;

constexpr TimePoint kNow{ std::chrono::seconds(100) };
const ServiceId kService("ordering");
constexpr int kObjects = 100;
/// Load figures of an idle server.
constexpr LoadSample kIdle{ .mRunning = 0, .mWaiting = 0, .mSlots = 4 };

LoadSample IdleWith(std::optional<double> aFactor)
{
  LoadSample load = kIdle;
  load.mTimeFactor = aFactor;
  return load;
}

/// Factors that no machine has.
const std::vector<double> kLyingFactors{
  0,
  -2.5,
  0.09,
  20.1,
  1e300,
  std::numeric_limits<double>::quiet_NaN(),
  std::numeric_limits<double>::infinity(),
  -std::numeric_limits<double>::infinity()
};

/// Twelve servers, all of which have all objects cached.
class WarmServers
{
public:
  WarmServers()
  {
    for (int n = 0; n < 12; ++n) {
      mPool.Upsert({ .mBackend = BackendId("s" + std::to_string(n)),
                     .mService = kService,
                     .mAddress = "10.0.0.1",
                     .mPort = 80,
                     .mFailureDomain = FailureDomainId("a"),
                     .mRegion = RegionId("r"),
                     .mSlots = 4 },
                   kNow);
    }
    Handle(kNow);
  }

  Backend& At(int aServer)
  {
    return *mPool.Find(BackendId("s" + std::to_string(aServer)));
  }

  /// Lets all servers handle all objects at the time.
  void Handle(TimePoint aTime)
  {
    for (Backend* const server : mPool.BackendsOfService(kService)) {
      for (ObjectHash object = 1; object <= kObjects; ++object) {
        mPool.OnSent(*server, object, aTime);
        mPool.OnAttemptEnded(*server, true, aTime);
      }
    }
  }

  /// Servers chosen for all objects, in the order of the objects.
  std::vector<const Backend*> ChooseAll(TimePoint aTime) const
  {
    std::vector<const Backend*> chosen;
    for (ObjectHash object = 1; object <= kObjects; ++object) {
      chosen.push_back(
        mSelector
          .Choose(mPool, mPool.BackendsOfService(kService), object, {}, aTime)
          ->mBackend);
    }
    return chosen;
  }

  BackendPool mPool{ {} };

private:
  ObjectSelector mSelector{ {} };
};

/// Sends requests for one object, one after the other, or many at once.
class OneObjectFixture : public GatewayFixture
{
public:
  effect::Dispatch Send()
  {
    Request("/prices/1");
    REQUIRE(FindEffect<effect::Dispatch>());
    return *FindEffect<effect::Dispatch>();
  }

  void Answer(const effect::Dispatch& aSent,
              Duration aLatency,
              std::optional<double> aFactor)
  {
    Deliver(event::BackendReplied{
      .mRequest = aSent.mRequest,
      .mAttempt = aSent.mAttempt,
      .mAnswer =
        std::make_shared<const AnswerContent>(AnswerContent{ .mStatus = 200 }),
      .mLoad = IdleWith(aFactor),
      .mLatency = aLatency });
  }

  /// Value of a field of the last request's log line; nullopt if it has none.
  std::optional<std::string> Field(const std::string& aName) const
  {
    for (const Effect& effect : mLastEffects) {
      const auto* const record = std::get_if<effect::RecordTimeline>(&effect);
      if (record && record->mName == "request_answered") {
        for (const auto& each : record->mFields) {
          if (each.mName == aName) {
            return each.mValue;
          }
        }
      }
    }
    return std::nullopt;
  }

  /// Serves 48 requests, a sixth of them with the latency and the factor and
  /// the others within the usual time.
  void ServeSixthAt(Duration aLatency, std::optional<double> aFactor)
  {
    for (int n = 0; n < 48; ++n) {
      const bool isSlowed = n % 6 == 0;
      Answer(Send(),
             isSlowed ? aLatency : kUsual,
             isSlowed ? aFactor : std::nullopt);
    }
  }

  /// Expected times of requests that are sent at once, more than the object's
  /// server has slots for.
  std::vector<std::string> ExpectationsOfBurst()
  {
    std::vector<effect::Dispatch> sent;
    for (int n = 0; n < 6; ++n) {
      sent.push_back(Send());
    }
    std::vector<std::string> expected;
    for (const effect::Dispatch& each : sent) {
      Answer(each, kUsual, std::nullopt);
      expected.push_back(*Field("expected_wait_ms") + "/" +
                         *Field("expected_ms"));
    }
    return expected;
  }

  double SlownessOf(const BackendId& aBackend) const
  {
    return mGateway.Pool().Slowness(*mGateway.Pool().Find(aBackend), mNow);
  }

  static constexpr Milliseconds kUsual{ 100 };
};

} // namespace

// Guards against requests that are sent to servers while these are slow, and
// against servers that are avoided when their slow moment is over.
TEST_CASE("Neighbours slow a sixth of the servers for half a second")
{
  WarmServers servers;
  const auto usual = servers.ChooseAll(kNow);
  const std::vector<Backend*> slowed{ &servers.At(3), &servers.At(8) };
  for (const Backend* const server : slowed) {
    REQUIRE(std::count(usual.begin(), usual.end(), server) > 0);
  }
  TimePoint now = kNow;
  for (; now < kNow + Milliseconds(500); now += Milliseconds(100)) {
    for (Backend* const server : slowed) {
      servers.mPool.OnLoadSample(*server, IdleWith(2.5), now);
    }
    const auto chosen = servers.ChooseAll(now + Milliseconds(50));
    for (std::size_t n = 0; n < usual.size(); ++n) {
      const bool isSlowed = usual[n] == slowed[0] || usual[n] == slowed[1];
      CHECK((chosen[n] == usual[n]) == !isSlowed);
    }
  }
  now += Milliseconds(900);
  CHECK(servers.ChooseAll(now) == usual);
}

TEST_CASE("A stated time factor halves its distance from 1 every 250 ms")
{
  WarmServers servers;
  Backend& server = servers.At(0);
  CHECK(servers.mPool.TimeFactor(server, kNow) == 1);
  servers.mPool.OnLoadSample(server, IdleWith(3), kNow);
  CHECK(servers.mPool.TimeFactor(server, kNow) == Approx(3));
  servers.mPool.OnLoadSample(server, kIdle, kNow + Milliseconds(100));
  CHECK(servers.mPool.TimeFactor(server, kNow + Milliseconds(250)) ==
        Approx(2));
  servers.mPool.OnLoadSample(server, IdleWith(0.5), kNow + Milliseconds(250));
  CHECK(servers.mPool.TimeFactor(server, kNow + Milliseconds(500)) ==
        Approx(0.75));
}

// Guards against a server that draws or repels requests by a wrong statement.
TEST_CASE("Lying time factors steer nothing")
{
  for (const double factor : kLyingFactors) {
    INFO(factor);
    WarmServers servers;
    const auto usual = servers.ChooseAll(kNow);
    servers.mPool.OnLoadSample(servers.At(3), IdleWith(factor), kNow);
    CHECK(servers.mPool.TimeFactor(servers.At(3), kNow) == 1);
    CHECK(servers.ChooseAll(kNow) == usual);
  }
}

TEST_CASE("A machine that is faster than usual draws no requests from others")
{
  WarmServers servers;
  const auto usual = servers.ChooseAll(kNow);
  servers.mPool.OnLoadSample(servers.At(3), IdleWith(0.2), kNow);
  CHECK(servers.ChooseAll(kNow) == usual);
}

// Guards against service times that grow with the slow moments of machines:
// queues are taken for longer than they are, and requests are refused.
TEST_CASE("Service times stay normal while a sixth of the answers are slowed")
{
  OneObjectFixture normal;
  normal.ServeSixthAt(OneObjectFixture::kUsual, std::nullopt);
  OneObjectFixture unstated;
  unstated.ServeSixthAt(Milliseconds(250), std::nullopt);
  const auto expected = normal.ExpectationsOfBurst();
  // Shows that the figures depend on service times.
  CHECK(unstated.ExpectationsOfBurst() != expected);
  for (const double factor : { 2.5, 0.5 }) {
    INFO(factor);
    OneObjectFixture stated;
    stated.ServeSixthAt(
      std::chrono::duration_cast<Duration>(OneObjectFixture::kUsual * factor),
      factor);
    // The statement itself is not to be seen any more.
    stated.Advance(std::chrono::seconds(10));
    CHECK(stated.ExpectationsOfBurst() == expected);
  }
}

// Guards against a server that is avoided for seconds after a slow moment that
// lasted half a second.
TEST_CASE("Answers of a slow moment do not mark a server as slow")
{
  OneObjectFixture stated;
  OneObjectFixture unstated;
  stated.ServeSixthAt(OneObjectFixture::kUsual, std::nullopt);
  unstated.ServeSixthAt(OneObjectFixture::kUsual, std::nullopt);
  BackendId server;
  for (int n = 0; n < 3; ++n) {
    const effect::Dispatch sent = stated.Send();
    server = sent.mBackend;
    stated.Answer(sent, Milliseconds(250), 2.5);
    unstated.Answer(unstated.Send(), Milliseconds(250), std::nullopt);
  }
  CHECK(stated.SlownessOf(server) == Approx(1));
  CHECK(unstated.SlownessOf(server) > 2);
}

TEST_CASE("Lying time factors leave latencies as they are")
{
  OneObjectFixture unstated;
  unstated.ServeSixthAt(Milliseconds(250), std::nullopt);
  const auto expected = unstated.ExpectationsOfBurst();
  for (const double factor : kLyingFactors) {
    INFO(factor);
    OneObjectFixture lying;
    lying.ServeSixthAt(Milliseconds(250), factor);
    CHECK_FALSE(lying.Field("time_factor"));
    CHECK(lying.ExpectationsOfBurst() == expected);
  }
}

TEST_CASE("The log of an answered request has the time factor if it was stated")
{
  OneObjectFixture fixture;
  fixture.Answer(fixture.Send(), OneObjectFixture::kUsual, 2.5);
  REQUIRE(fixture.Field("time_factor"));
  CHECK(std::stod(*fixture.Field("time_factor")) == Approx(2.5));
  fixture.Answer(fixture.Send(), OneObjectFixture::kUsual, std::nullopt);
  CHECK(fixture.Field("status") == "200");
  CHECK_FALSE(fixture.Field("time_factor"));
}

// Guards against a server that gets requests again after a health check while
// its machine is slow. The load of servers that state no factor stays unused,
// as before there was one.
TEST_CASE("A health check states the time factor")
{
  OneObjectFixture fixture;
  const BackendId server = fixture.Send().mBackend;
  const auto probe = [&](std::optional<double> aFactor) {
    LoadSample load = IdleWith(aFactor);
    load.mRunning = 4;
    fixture.Deliver(event::BackendProbed{ .mBackend = server,
                                          .mHasAnswered = true,
                                          .mIsHealthy = true,
                                          .mLoad = load });
    return *fixture.mGateway.Pool().Find(server);
  };
  const Backend without = probe(std::nullopt);
  CHECK(without.mTimeFactor == 1);
  CHECK(without.mOtherVmLoad == 0);
  const Backend with = probe(2.5);
  CHECK(fixture.mGateway.Pool().TimeFactor(with, fixture.mNow) == Approx(2.5));
  CHECK(with.mOtherVmLoad == 3);
}

} // namespace cranberrywing::gateway
