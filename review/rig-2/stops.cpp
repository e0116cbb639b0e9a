// Gateways are stopped and started in turn while clients look things up.
// Usage: stops FOLDER TROUBLE (0: none is stopped)
#include "rig.h"

using namespace rig;

namespace {

constexpr int kUsualMs = 880,
              kLongestMs = 2640; // work of a request, usually and at most
constexpr int kDeadlineMs = 4000, kGraceMs = 6000;
constexpr int kLookupMs =
  3900; // three times the lifetime of a lookup's answer, 1300 ms
constexpr int kStops = 7;

struct Look
{
  long long sentAt = 0, runAt = -1, doneAt = -1, endedAt = -1;
  size_t gateway = 0;
  int status = 0;
};

} // namespace

int main(int, char** arguments)
{
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = arguments[1];
  const bool hasTrouble = std::string(arguments[2]) != "0";
  Record record(folder + "/record.txt");
  Store store;
  store.Open(0);
  std::mutex mutex;
  std::map<std::string, Look> looks;
  const std::vector<std::string> zones{ "accra-osu",
                                        "accra-tema",
                                        "kumasi-adum" };

  // Three requests in 100 take as long as any may.
  std::atomic<int> number{ 0 };
  std::vector<std::unique_ptr<Instance>> instances;
  for (int n = 0; n < 24; ++n) {
    instances.push_back(std::make_unique<Instance>(
      store,
      Instance::Options{ .id = "i-" + std::to_string(n),
                         .service = "shopdesk",
                         .zone = zones[n % 3],
                         .workMs = 0 },
      [&](const Message& request, const std::string&) {
        const std::string attempt = request.Field("Attempt-Id");
        {
          const std::lock_guard lock(mutex);
          looks[attempt].runAt = NowMs();
        }
        SleepMs(++number % 33 == 0 ? kLongestMs : kUsualMs);
        const std::lock_guard lock(mutex);
        looks[attempt].doneAt = NowMs();
        return false;
      }));
    instances.back()->Begin(0);
  }
  std::string configuration = Configuration(7);
  const std::string from = "\"800ms\",\"400ms\",2";
  configuration.replace(
    configuration.find(from), from.size(), "\"4000ms\",\"600ms\",2");
  store.Set("op/config", configuration);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (size_t n = 0; n < 2; ++n) {
    gateways.push_back(std::make_unique<Gateway>(
      "edge-" + std::to_string(n), "accra", zones[n], store.Port(), folder));
    gateways.back()->Start();
  }
  const auto awaitReady = [&](Gateway& gateway) {
    for (int n = 0; n < 100 && !gateway.IsReady(); ++n) {
      SleepMs(100);
    }
    return gateway.IsReady();
  };
  if (!awaitReady(*gateways[0]) || !awaitReady(*gateways[1])) {
    record.Line("a gateway isn't ready");
    return 2;
  }
  SleepMs(1000);

  std::atomic<bool> isOver{ false };
  std::atomic<size_t> target{ 0 };
  // Clients look up things that nobody has looked up before, each on a new
  // connection.
  std::thread clients([&] {
    for (int n = 0; !isOver; ++n) {
      const size_t gateway = target;
      std::thread([&, n, gateway] {
        const std::string attempt = "look-" + std::to_string(n);
        {
          const std::lock_guard lock(mutex);
          looks[attempt].sentAt = NowMs();
          looks[attempt].gateway = gateway;
        }
        std::string text = Request(
          "GET", "/look/" + std::to_string(n), attempt, kDeadlineMs, kKey, "");
        text.replace(text.find("Affinity-Key: 17"),
                     16,
                     "Affinity-Key: " + std::to_string(n));
        const int status = Ask(gateways[gateway]->Callers(), text, kDeadlineMs);
        const std::lock_guard lock(mutex);
        looks[attempt].status = status;
        looks[attempt].endedAt = NowMs();
      }).detach();
      SleepMs(12);
    }
  });
  SleepMs(6000);
  std::vector<std::pair<size_t, long long>> stops;
  for (int n = 0; n < kStops; ++n) {
    const size_t stopped = target;
    if (!hasTrouble) {
      SleepMs(12000);
      target = 1 - stopped;
      continue;
    }
    const long long at = NowMs();
    record.Line("SIGTERM for " + gateways[stopped]->Name());
    stops.emplace_back(stopped, at);
    gateways[stopped]->Signal(SIGTERM);
    // Some clients keep a lookup's answer for three times its lifetime.
    SleepMs(kLookupMs);
    target = 1 - stopped;
    while (!gateways[stopped]->TakeEnd()) {
      if (NowMs() > at + kGraceMs) {
        gateways[stopped]->End();
        break;
      }
      SleepMs(20);
    }
    record.Line(gateways[stopped]->Name() + " has ended " +
                std::to_string(NowMs() - at) + " ms after its SIGTERM");
    SleepMs(300);
    gateways[stopped]->Start();
    if (!awaitReady(*gateways[stopped])) {
      record.Line(gateways[stopped]->Name() + " isn't ready again");
    }
    SleepMs(std::max<long long>(0, at + 13000 - NowMs()));
  }
  isOver = true;
  clients.join();
  SleepMs(kDeadlineMs + 500);

  const std::lock_guard lock(mutex);
  int answered = 0, refused = 0, excused = 0, lost = 0, other = 0;
  for (const auto& [attempt, look] : looks) {
    record.Line(attempt + ": sent at " + std::to_string(look.sentAt) + " to " +
                gateways[look.gateway]->Name() + ", run from " +
                std::to_string(look.runAt) + " to " +
                std::to_string(look.doneAt) + ", ended at " +
                std::to_string(look.endedAt) + ", answer " +
                (look.status ? std::to_string(look.status) : "none"));
    if (look.status == 200) {
      ++answered;
      continue;
    }
    if (look.status != 0) {
      ++refused;
      continue;
    }
    bool isLost = false, isExcused = false;
    for (const auto& [gateway, at] : stops) {
      // Passed on to an instance, and the connection ended without an answer
      // within the client's deadline.
      if (gateway == look.gateway && look.sentAt >= at &&
          look.sentAt <= at + kGraceMs && look.runAt >= 0 &&
          look.endedAt < look.sentAt + kDeadlineMs - 100) {
        const bool wasAtWorkAtEnd = look.doneAt > at + kGraceMs * 5 / 6;
        isExcused = look.sentAt <= at + 3000 && wasAtWorkAtEnd;
        isLost = !isExcused;
        if (isLost) {
          record.Line(
            "LOST " + attempt + ": sent " + std::to_string(look.sentAt - at) +
            " ms after the SIGTERM, begun by an instance after " +
            std::to_string(look.runAt - at) + " ms, done after " +
            std::to_string(look.doneAt - at) + " ms, connection ended after " +
            std::to_string(look.endedAt - at) + " ms without an answer");
        }
      }
    }
    lost += isLost ? 1 : 0;
    excused += isExcused ? 1 : 0;
    other += !isLost && !isExcused ? 1 : 0;
  }
  const std::string result =
    std::to_string(looks.size()) + " lookups: " + std::to_string(answered) +
    " answered 200, " + std::to_string(refused) + " with another status, " +
    std::to_string(excused) + " cut as the rules allow, " +
    std::to_string(other) + " not connected or at their deadline, " +
    std::to_string(lost) + " LOST";
  record.Line(result);
  std::printf("%s\n", result.c_str());
  for (const auto& gateway : gateways) {
    gateway->End();
  }
  std::fflush(stdout);
  _exit(lost > 0 ? 1 : answered > 0 ? 0 : 2);
}
