// A request that crashes each instance that begins to run it comes again and
// again, at any machine. Usage: poison FOLDER MODE TROUBLE.
//
// MODE roll: the gateways are stopped and started in turn. Without trouble they
// aren't.
//
// MODE few: the service has two instances, which start again under the id that
// they had. Without trouble the request crashes nothing.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kStableMs = 3000; // stable_window
constexpr int kBackMs = 2000;   // an instance is back after some seconds

struct Sent
{
  size_t gateway = 0;
  long long at = 0;
};

} // namespace

int main(int, char** arguments)
{
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = arguments[1], mode = arguments[2];
  const bool hasTrouble = std::string(arguments[3]) != "0";
  const bool isRolled = mode == "roll" && hasTrouble;
  const bool crashes = mode == "roll" || hasTrouble;
  Record record(folder + "/record.txt");
  Store store;
  store.Open(0);

  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::vector<std::pair<long long, std::string>>
    arrivals; // of the request that crashes instances
  std::vector<std::unique_ptr<Instance>> instances;
  int starts = 0;

  const auto onRun = [&](const Message& request, const std::string& id) {
    const std::string attempt = request.Field("Attempt-Id");
    const std::lock_guard lock(mutex);
    if (request.target != "/pay/2f") {
      record.Line("instance " + id + " runs " + attempt);
      return false;
    }
    arrivals.emplace_back(NowMs(), attempt);
    record.Line("instance " + id + " begins to run " + attempt +
                (crashes ? " and crashes" : ""));
    if (!crashes) {
      return false;
    }
    for (const auto& instance : instances) {
      if (instance->Id() == id) {
        instance->CrashFor(kBackMs,
                           mode == "few" ? id
                                         : id.substr(0, 3) + "." +
                                             std::to_string(++starts));
      }
    }
    return true;
  };
  const std::vector<std::string> zones{ "accra-osu",
                                        "accra-tema",
                                        "kumasi-adum" };
  const int count = mode == "few" ? 2 : 9;
  {
    const std::lock_guard lock(mutex);
    for (int n = 0; n < count; ++n) {
      instances.push_back(std::make_unique<Instance>(
        store,
        Instance::Options{ .id = "i-" + std::to_string(n),
                           .service = "ledger",
                           .zone = zones[n % zones.size()] },
        onRun));
      instances.back()->Begin(0);
    }
    // The other service's instances are sound.
    for (int n = count; n < 9; ++n) {
      instances.push_back(std::make_unique<Instance>(
        store,
        Instance::Options{ .id = "i-" + std::to_string(n),
                           .service = "shopdesk",
                           .zone = zones[n % zones.size()] },
        onRun));
      instances.back()->Begin(0);
    }
  }
  store.Set("op/config", Configuration(7));
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (size_t n = 0; n < zones.size(); ++n) {
    gateways.push_back(
      std::make_unique<Gateway>("edge-" + std::to_string(n),
                                zones[n].substr(0, zones[n].find('-')),
                                zones[n],
                                store.Port(),
                                folder));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    for (int n = 0; n < 100 && !gateway->IsReady(); ++n) {
      SleepMs(100);
    }
    if (!gateway->IsReady()) {
      record.Line(gateway->Name() + " isn't ready");
      return 2;
    }
  }
  SleepMs(4000);

  // Start and stop of each gateway's processes, for which it isn't in touch
  // until kStableMs later.
  std::vector<std::vector<std::pair<long long, long long>>> disturbed(
    gateways.size());
  std::atomic<bool> isOver{ false };
  // A client sends the request again each second, at one machine after the
  // other.
  std::thread poison([&] {
    for (int n = 0; !isOver; ++n) {
      const size_t target = static_cast<size_t>(n) % gateways.size();
      const std::string attempt = "poison-" + std::to_string(n);
      {
        const std::lock_guard lock(mutex);
        sent[attempt] = { target, NowMs() };
      }
      const int status =
        Ask(gateways[target]->Callers(),
            Request("PUT", "/pay/2f", attempt, 1500, kKey, "invoice 4711"),
            2500);
      record.Line("client sent " + attempt + " to " + gateways[target]->Name() +
                  ", answer " + (status ? std::to_string(status) : "none"));
      SleepMs(1000);
    }
  });
  // Other clients' payments, ten a second.
  std::atomic<int> paid{ 0 }, unpaid{ 0 };
  std::thread others([&] {
    for (int n = 0; !isOver; ++n) {
      std::thread([&, n] {
        const std::string attempt = "other-" + std::to_string(n);
        const int status =
          Ask(gateways[static_cast<size_t>(n) % gateways.size()]->Callers(),
              Request("PUT",
                      "/pay/" + attempt,
                      attempt,
                      1500,
                      kKey,
                      "invoice " + attempt),
              2500);
        ++(status == 200 ? paid : unpaid);
        record.Line("client sent " + attempt + ", answer " +
                    (status ? std::to_string(status) : "none"));
      }).detach();
      SleepMs(100);
    }
  });

  SleepMs(10000);
  if (isRolled) {
    for (size_t n = 0; n < gateways.size(); ++n) {
      const long long from = NowMs();
      record.Line("SIGTERM for " + gateways[n]->Name());
      gateways[n]->Signal(SIGTERM);
      for (int waited = 0; !gateways[n]->TakeEnd(); waited += 20) {
        if (waited > 6000) {
          gateways[n]->End();
          break;
        }
        SleepMs(20);
      }
      gateways[n]->Start();
      const std::lock_guard lock(mutex);
      disturbed[n].emplace_back(from, NowMs());
      record.Line(gateways[n]->Name() + " is started again");
      // Time for the machine to be in touch again, and for the request to come
      // there three times.
      mutex.unlock();
      SleepMs(12000);
      mutex.lock();
    }
  } else {
    SleepMs(mode == "roll" ? 45000 : 25000);
  }
  isOver = true;
  poison.join();
  others.join();
  SleepMs(3000);

  const std::lock_guard lock(mutex);
  int counted = 0;
  const long long third = arrivals.size() < 3 ? 0 : arrivals[2].first;
  std::vector<std::string> late;
  for (const auto& [at, attempt] : arrivals) {
    const Sent& request = sent[attempt];
    bool isInTouch = third > 0 && request.at > third + kStableMs;
    for (const auto& [from, to] : disturbed[request.gateway]) {
      isInTouch =
        isInTouch && !(request.at >= from && request.at <= to + kStableMs);
    }
    counted += isInTouch && crashes ? 1 : 0;
    if (isInTouch && crashes) {
      late.push_back(attempt + " at " + gateways[request.gateway]->Name());
    }
  }
  for (const std::string& each : late) {
    record.Line("late retry: " + each);
  }
  const std::string result =
    "the request began to run " + std::to_string(arrivals.size()) + " times, " +
    std::to_string(counted) +
    " of them retries that machines in touch sent later than " +
    std::to_string(kStableMs) +
    " ms after the third crash (at most 3 allowed); other payments: " +
    std::to_string(paid) + " answered 200, " + std::to_string(unpaid) + " not";
  record.Line(result);
  std::printf("%s\n", result.c_str());
  for (const auto& gateway : gateways) {
    gateway->End();
  }
  std::fflush(stdout);
  _exit(counted > 3 ? 1 : paid > 0 ? 0 : 2);
}
