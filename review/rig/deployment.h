// A small deployment like those of SYSTEM.md: one store, machines in the
// regions accra and kumasi, two services, two tenants.
#pragma once

#include "rig.h"

namespace rig {

inline const std::string kKey = "b9wu3fexd9dnn2ctnfzs";
inline const std::string kOtherKey = "989anu6wsjnbanfqasnm";

/// The newest configuration in full, as under op/config (fleetbench wire).
struct Policy
{
  int mVersion = 7;
  std::string mOrderTimeout = "3000ms";
  int mBodyBytes = 67108864;
  const char* mPayService = "ledger";
  int mFurtherRoutes = 0;
  json::array mTenants{
    json::array{ "kaje80", json::array{ kKey }, 1, 193, 193, json::array{} },
    json::array{ "molu31",
                 json::array{ kOtherKey },
                 1,
                 193,
                 193,
                 json::array{} },
  };

  std::string Text() const
  {
    const auto route = [&](const char* aName,
                           const char* aPrefix,
                           const char* aKind,
                           const std::string& aTimeout,
                           int aPriority,
                           const char* aService) {
      return json::array{ aName,   "ficu95.example", aPrefix,  aKind, aTimeout,
                          "400ms", aPriority,        aService, 2,     false,
                          false,   json::array{},    nullptr };
    };
    json::array routes{
      route(
        "r-order", "/pufi791/", "non_idempotent", mOrderTimeout, 1, "shopdesk"),
      route("r-lookup", "/lohu930/", "idempotent", "2500ms", 2, "shopdesk"),
      route("r-pay", "/leda220/", "non_idempotent", "1500ms", 0, mPayService),
    };
    for (int n = 0; n < mFurtherRoutes; ++n) {
      const std::string name = std::to_string(100000 + n);
      routes.push_back(route(("r-shop" + name).c_str(),
                             ("/shop" + name + "/").c_str(),
                             "idempotent",
                             "2500ms",
                             2,
                             "shopdesk"));
    }
    const json::object content{
      { "version", "r" + std::to_string(mVersion) },
      { "routes",
        json::object{ { "columns",
                        json::array{ "name",
                                     "host",
                                     "prefix",
                                     "kind",
                                     "timeout",
                                     "target_latency",
                                     "priority",
                                     "service",
                                     "max_attempts",
                                     "public",
                                     "sticky",
                                     "allowed_regions",
                                     "weighted_services" } },
                      { "rows", routes } } },
      { "services",
        json::object{
          { "columns",
            json::array{ "name",
                         "health_path",
                         "max_connections",
                         "protocol",
                         "tls",
                         "cold",
                         "cold_per_s" } },
          { "rows",
            json::array{
              json::array{
                "shopdesk", "/healthz", 390, "h1", false, "3s", 7.3 },
              json::array{
                "ledger", "/healthz", 390, "h1", false, "3s", 7.3 } } } } },
      { "limits",
        json::object{ { "max_header_bytes", 16384 },
                      { "max_body_bytes", mBodyBytes },
                      { "header_timeout", "3000ms" },
                      { "idle_timeout", "15000ms" } } },
      { "tenants",
        json::object{ { "columns",
                        json::array{ "name",
                                     "api_keys",
                                     "priority",
                                     "rate_per_s",
                                     "burst",
                                     "allowed_regions" } },
                      { "rows", mTenants } } },
    };
    return json::serialize(content);
  }
};

class Deployment
{
public:
  explicit Deployment(const std::string& aRecordPath)
  {
    NowMs();
    std::signal(SIGPIPE, SIG_IGN);
    RecordFile() = std::fopen(aRecordPath.c_str(), "w");
    mFolder = MakeFolder();
    mStoreAddress = { LoopbackIp(250), FreePort(LoopbackIp(250)) };
    if (!mStore.Start(mStoreAddress)) {
      CannotRun("the store's port is taken");
    }
  }

  [[noreturn]] void CannotRun(const std::string& aReason)
  {
    Record("cannot run: %s", aReason.c_str());
    Finish(2, mFolder);
  }

  std::shared_ptr<Machine> AddMachine(const std::string& aZone)
  {
    const int number = static_cast<int>(Machines().size()) + 1;
    Machine::Options options;
    options.mName = "edge-" + aZone + "-" + std::to_string(number);
    options.mZone = aZone;
    options.mRegion = Zones().at(aZone);
    options.mIp = LoopbackIp(number);
    options.mStore = mStoreAddress;
    options.mZones = Zones();
    options.mFolder = mFolder;
    Machines().push_back(std::make_shared<Machine>(options));
    Machines().back()->Start();
    return Machines().back();
  }

  std::shared_ptr<Instance> AddInstance(const std::string& aService,
                                        const std::string& aZone,
                                        Instance::Options aOptions = {})
  {
    const int number = ++mInstances;
    aOptions.mService = aService;
    aOptions.mZone = aZone;
    if (aOptions.mId.empty()) {
      aOptions.mId = "i-" + aService + "-" + std::to_string(number);
    }
    if (aOptions.mAddress.mPort == 0) {
      const std::string ip = LoopbackIp(100 + number);
      aOptions.mAddress = { ip, FreePort(ip) };
    }
    auto instance = std::make_shared<Instance>(mStore, aOptions);
    return instance;
  }

  /// Waits until all machines are ready, and the lead before traffic starts.
  void AwaitReady()
  {
    const std::int64_t end = NowMs() + 10'000;
    for (const auto& machine : Machines()) {
      while (!machine->IsReady()) {
        if (NowMs() > end) {
          CannotRun("machine " + machine->Get().mName + " does not get ready");
        }
        SleepMs(50);
      }
    }
    SleepMs(3500);
    Record("all machines are ready");
  }

  Store mStore;
  Address mStoreAddress;
  std::string mFolder;

private:
  int mInstances = 0;
};

} // namespace rig
