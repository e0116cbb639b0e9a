// Gateways are stopped and started in turn while clients send further lookups
// before the first has been answered. Usage: pipeline FOLDER TROUBLE (0: none
// is stopped)
#include "rig.h"

using namespace rig;

namespace {

constexpr int kUsualMs = 600,
              kLongMs = 5800; // work of a request, usually and of three in 100
constexpr int kDeadlineMs = 10000, kTimeoutMs = 6000, kGraceMs = 6000;
constexpr int kStops = 5, kClients = 16, kBehind = 5;

struct Look
{
  long long sentAt = 0, runAt = -1, doneAt = -1, endedAt = -1;
  size_t gateway = 0;
  int status = 0;
  bool isBehindClose = false;
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
        SleepMs(++number % 33 == 0 ? kLongMs : kUsualMs);
        const std::lock_guard lock(mutex);
        looks[attempt].doneAt = NowMs();
        return false;
      }));
    instances.back()->Begin(0);
  }
  std::string configuration = Configuration(7);
  const std::string from = "\"800ms\",\"400ms\",2";
  configuration.replace(
    configuration.find(from), from.size(), "\"6000ms\",\"1200ms\",2");
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
  std::atomic<int> next{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      SleepMs(client * 50);
      while (!isOver) {
        const size_t gateway = target;
        const int fd = Connect(gateways[gateway]->Callers());
        if (fd < 0) {
          SleepMs(100);
          continue;
        }
        Reader reader(fd);
        bool isOpen = true;
        while (isOpen && !isOver && target == gateway) {
          std::vector<std::string> attempts;
          std::string text;
          for (int n = 0; n < kBehind; ++n) {
            const int id = next++;
            attempts.push_back("look-" + std::to_string(id));
            std::string one = Request("GET",
                                      "/look/" + std::to_string(id % 48),
                                      attempts.back(),
                                      kDeadlineMs,
                                      kKey,
                                      "");
            one.replace(one.find("Affinity-Key: 17"),
                        16,
                        "Affinity-Key: " + std::to_string(id % 48));
            text += one;
          }
          {
            const std::lock_guard lock(mutex);
            for (const std::string& attempt : attempts) {
              looks[attempt].sentAt = NowMs();
              looks[attempt].gateway = gateway;
            }
          }
          Write(fd, text);
          bool isClosing = false;
          for (const std::string& attempt : attempts) {
            Message answer;
            const bool isAnswered =
              isOpen && !isClosing && reader.Read(answer, true, kDeadlineMs);
            const std::lock_guard lock(mutex);
            looks[attempt].status = isAnswered ? answer.status : 0;
            looks[attempt].isBehindClose = isClosing;
            looks[attempt].endedAt = NowMs();
            isOpen = isOpen && (isAnswered || isClosing);
            isClosing = isClosing || answer.Field("Connection") == "close";
          }
          isOpen = isOpen && !isClosing;
        }
        close(fd);
      }
    });
  }
  SleepMs(6000);
  std::vector<std::pair<size_t, long long>> stops;
  for (int n = 0; n < kStops; ++n) {
    const size_t stopped = target;
    const long long at = NowMs();
    if (hasTrouble) {
      record.Line("SIGTERM for " + gateways[stopped]->Name());
      stops.emplace_back(stopped, at);
      gateways[stopped]->Signal(SIGTERM);
    }
    // Clients ask for the machines to use again.
    SleepMs(1300);
    target = 1 - stopped;
    if (hasTrouble) {
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
    }
    SleepMs(std::max<long long>(0, at + 14000 - NowMs()));
  }
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }

  const std::lock_guard lock(mutex);
  int answered = 0, refused = 0, lost = 0, excused = 0, other = 0;
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
      // within the route's timeout.
      if (gateway == look.gateway && look.sentAt >= at - kTimeoutMs &&
          look.sentAt <= at + kGraceMs && look.runAt >= 0 &&
          look.endedAt >= at && look.endedAt < look.sentAt + kTimeoutMs - 100 &&
          !look.isBehindClose) {
        isExcused = look.sentAt <= at + 3000 &&
                    (look.doneAt < 0 || look.doneAt > at + kGraceMs * 5 / 6);
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
    std::to_string(other) + " without an answer otherwise, " +
    std::to_string(lost) + " LOST";
  record.Line(result);
  std::printf("%s\n", result.c_str());
  for (const auto& gateway : gateways) {
    gateway->End();
  }
  std::fflush(stdout);
  _exit(lost > 0 ? 1 : answered > 0 ? 0 : 2);
}
