/// \file
/// Stand-ins for the platform's store, instances and clients, and the start of
/// gateway processes, for the cases 11 to 15. Plain sockets and threads; no
/// library beside the C++ standard library and POSIX.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

inline std::int64_t NowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

inline std::int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void SleepMs(std::int64_t ms)
{
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

/// record.txt of a case. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& path)
    : mFile(std::fopen(path.c_str(), "w"))
  {
    NowMs();
    if (!mFile) {
      std::fprintf(stderr, "cannot write %s\n", path.c_str());
      std::exit(2);
    }
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::fprintf(mFile, "%7lld ms  ", static_cast<long long>(NowMs()));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(mFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::FILE* mFile;
  std::mutex mMutex;
};

// ---------------------------------------------------------------- sockets

inline int Listen(std::uint16_t& port,
                  const char* address = "127.0.0.1",
                  int receiveBuffer = 0,
                  int segment = 0,
                  int backlog = 1024)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (receiveBuffer > 0) {
    setsockopt(
      fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
  }
  if (segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(port);
  inet_pton(AF_INET, address, &name.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 ||
      listen(fd, backlog) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(name);
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  port = ntohs(name.sin_port);
  return fd;
}

/// Ports that were free a moment ago, all different.
inline std::vector<std::uint16_t> FreePorts(std::size_t count)
{
  std::vector<int> sockets;
  std::vector<std::uint16_t> ports;
  while (ports.size() < count) {
    std::uint16_t port = 0;
    sockets.push_back(Listen(port));
    ports.push_back(port);
  }
  for (const int fd : sockets) {
    close(fd);
  }
  return ports;
}

inline int Connect(std::uint16_t port,
                   int receiveBuffer = 0,
                   int segment = 0,
                   const char* address = "127.0.0.1")
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBuffer > 0) {
    setsockopt(
      fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
  }
  if (segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(port);
  inet_pton(AF_INET, address, &name.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
      send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Closes with a reset instead of an ordinary end.
inline void CloseWithReset(int fd)
{
  const linger option{ 1, 0 };
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  close(fd);
}

struct Message
{
  /// Request line or status line.
  std::string mStart;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Get(const char* name) const
  {
    for (const auto& [key, value] : mHeaders) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return {};
  }
  bool Has(const char* name) const
  {
    return std::any_of(
      mHeaders.begin(), mHeaders.end(), [name](const auto& each) {
        return strcasecmp(each.first.c_str(), name) == 0;
      });
  }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const std::size_t first = mStart.find(' ');
    return mStart.substr(first + 1, mStart.rfind(' ') - first - 1);
  }
  int Status() const
  {
    return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0;
  }
};

/// Reads messages from a connection.
class Reader
{
public:
  explicit Reader(int fd)
    : mFd(fd)
  {
  }
  /// Reads a head; false at the end of the connection or after the time.
  bool Head(Message& message, std::int64_t untilMs)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!More(untilMs)) {
        return false;
      }
    }
    message = {};
    std::istringstream lines(mBuffer.substr(0, end));
    mBuffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    message.mStart = Trim(line);
    while (std::getline(lines, line)) {
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        message.mHeaders.emplace_back(line.substr(0, colon),
                                      Trim(line.substr(colon + 1)));
      }
    }
    return true;
  }
  /// Reads a body of known length; false if it ends early.
  bool Body(Message& message, std::int64_t untilMs)
  {
    const std::size_t length =
      std::strtoull(message.Get("Content-Length").c_str(), nullptr, 10);
    while (mBuffer.size() < length) {
      if (!More(untilMs)) {
        message.mBody = mBuffer;
        return false;
      }
    }
    message.mBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return true;
  }
  bool Whole(Message& message, std::int64_t untilMs)
  {
    return Head(message, untilMs) && Body(message, untilMs);
  }
  bool More(std::int64_t untilMs, std::size_t most = 65536)
  {
    const std::int64_t left = untilMs - NowMs();
    pollfd entry{ mFd, POLLIN, 0 };
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
      mTimedOut = true;
      return false;
    }
    std::vector<char> bytes(most);
    const ssize_t n = recv(mFd, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      mError = n < 0 ? errno : 0;
      return false;
    }
    mBuffer.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
  }
  const std::string& Buffered() const { return mBuffer; }
  bool HasTimedOut() const { return mTimedOut; }
  int Error() const { return mError; }

private:
  static std::string Trim(const std::string& text)
  {
    const std::size_t first = text.find_first_not_of(" \t\r");
    const std::size_t last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string()
                                      : text.substr(first, last - first + 1);
  }

  int mFd;
  std::string mBuffer;
  bool mTimedOut = false;
  int mError = 0;
};

/// Accepts connections until the process ends; one thread each.
inline void Serve(int listener, std::function<void(int)> handler)
{
  std::thread([listener, handler = std::move(handler)] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([fd, handler] { handler(fd); }).detach();
    }
  }).detach();
}

// ------------------------------------------------------------------ store

inline std::string Base64(const std::string& text)
{
  static const char* const digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t n = 0; n < 3; ++n) {
      group =
        group << 8U |
        (at + n < text.size() ? static_cast<unsigned char>(text[at + n]) : 0U);
    }
    for (std::size_t n = 0; n < 4; ++n) {
      out += at + n <= text.size() ? digits[group >> (18 - 6 * n) & 63U] : '=';
    }
  }
  return out;
}

/// The platform's store as PROTOCOL.md tells it. Loses nothing, answers after
/// 4 ms; leases end when they are not renewed.
class Store
{
public:
  explicit Store(Record& record)
    : mRecord(record)
  {
    const int listener = Listen(mPort);
    Serve(listener, [this](int fd) { Handle(fd); });
    std::thread([this] {
      while (true) {
        SleepMs(50);
        EndLeases();
      }
    }).detach();
  }
  std::uint16_t Port() const { return mPort; }

  /// Writes as operator or instance; returns the revision.
  std::int64_t Put(const std::string& key, const std::string& value)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return Write(key, Base64(value), 0);
  }
  std::int64_t Remove(const std::vector<std::string>& keys)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const std::string& key : keys) {
      Erase(key);
    }
    return mRevision;
  }
  bool Has(const std::string& key)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mItems.count(key) > 0;
  }

private:
  struct Item
  {
    std::string mJson;
    std::int64_t mLease = 0;
  };

  std::int64_t Write(const std::string& key,
                     const std::string& value,
                     std::int64_t lease)
  {
    ++mRevision;
    const std::string json = "{\"key\":\"" + key + "\",\"value\":\"" + value +
                             "\",\"revision\":" + std::to_string(mRevision) +
                             ",\"created_rev\":" + std::to_string(mRevision) +
                             ",\"lease\":" + std::to_string(lease) + "}";
    mItems[key] = { json, lease };
    mEvents.emplace_back(mRevision, json);
    mChanged.notify_all();
    return mRevision;
  }
  void Erase(const std::string& key)
  {
    if (mItems.erase(key) > 0) {
      ++mRevision;
      mEvents.emplace_back(mRevision,
                           "{\"key\":\"" + key +
                             "\",\"revision\":" + std::to_string(mRevision) +
                             ",\"tombstone\":true}");
      mChanged.notify_all();
    }
  }
  void EndLeases()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<std::string> ended;
    for (auto it = mLeases.begin(); it != mLeases.end();) {
      if (it->second.mEnd > NowMs()) {
        ++it;
        continue;
      }
      for (const auto& [key, item] : mItems) {
        if (item.mLease == it->first) {
          ended.push_back(key);
        }
      }
      it = mLeases.erase(it);
    }
    for (const std::string& key : ended) {
      mRecord.Line("store: lease of %s has ended", key.c_str());
      Erase(key);
    }
  }
  static std::string Decode(const std::string& text)
  {
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
      if (text[at] == '%' && at + 2 < text.size()) {
        out += static_cast<char>(
          std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 2;
      } else {
        out += text[at];
      }
    }
    return out;
  }
  static std::string Parameter(const std::string& target, const char* name)
  {
    const std::string mark = std::string(name) + "=";
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      if (target.compare(at + 1, mark.size(), mark) == 0) {
        const std::size_t from = at + 1 + mark.size();
        const std::size_t end = target.find('&', from);
        return Decode(target.substr(
          from, end == std::string::npos ? std::string::npos : end - from));
      }
      at = target.find('&', at + 1);
    }
    return {};
  }
  static std::string Field(const std::string& json, const char* name)
  {
    const std::string mark = "\"" + std::string(name) + "\":";
    std::size_t at = json.find(mark);
    if (at == std::string::npos) {
      return {};
    }
    at += mark.size();
    if (json[at] == '"') {
      std::string text;
      for (++at; at < json.size() && json[at] != '"'; ++at) {
        if (json[at] == '\\') {
          ++at;
        }
        text += json[at];
      }
      return text;
    }
    return json.substr(at, json.find_first_of(",}]", at) - at);
  }
  std::string Range(const std::string& target)
  {
    const std::string prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    std::string items;
    for (const auto& [key, item] : mItems) {
      if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
        items += (items.empty() ? "" : ",") + item.mJson;
      }
    }
    return "{\"items\":[" + items +
           "],\"has_more\":false,\"current_rev\":" + std::to_string(mRevision) +
           "}";
  }
  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& target)
  {
    const std::int64_t after = std::atoll(Parameter(target, "after").c_str());
    const std::int64_t wait = std::atoll(Parameter(target, "wait_ms").c_str());
    mChanged.wait_for(
      lock, std::chrono::milliseconds(wait), [&] { return mRevision > after; });
    std::string events;
    for (const auto& [revision, json] : mEvents) {
      if (revision > after) {
        events += (events.empty() ? "" : ",") + json;
      }
    }
    return "{\"events\":[" + events +
           "],\"current_rev\":" + std::to_string(mRevision) + "}";
  }
  std::pair<int, std::string> Answer(const Message& request)
  {
    SleepMs(4);
    std::unique_lock<std::mutex> lock(mMutex);
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::int64_t id =
      std::atoll(path.substr(path.rfind('/') + 1).c_str());
    if (path == "/cranberrywing/kv-range") {
      return { 200, Range(target) };
    }
    if (path == "/cranberrywing/kv-watch") {
      return { 200, Watch(lock, target) };
    }
    if (path == "/cranberrywing/kv-lease") {
      const std::int64_t ttl =
        std::atoll(Field(request.mBody, "ttl_time").c_str());
      const std::int64_t lease = mNextLease++;
      mLeases[lease] = { ttl, NowMs() + ttl };
      return { 200,
               "{\"lease\":" + std::to_string(lease) + ",\"ttl_time\":\"" +
                 std::to_string(ttl) + "ms\"}" };
    }
    if (path.find("/kv-keep/") != std::string::npos) {
      const auto it = mLeases.find(id);
      if (it == mLeases.end()) {
        return { 404, "{}" };
      }
      it->second.mEnd = NowMs() + it->second.mTtl;
      return { 200,
               "{\"ttl_time\":\"" + std::to_string(it->second.mTtl) + "ms\"}" };
    }
    if (path.find("/kv-lease-end/") != std::string::npos) {
      const auto it = mLeases.find(id);
      if (it != mLeases.end()) {
        it->second.mEnd = 0;
      }
      return { it == mLeases.end() ? 404 : 200, "{}" };
    }
    if (path == "/cranberrywing/kv-txn") {
      // The gateway writes one key a call, without a condition.
      const std::int64_t lease =
        std::atoll(Field(request.mBody, "lease").c_str());
      if (lease != 0 && mLeases.count(lease) == 0) {
        return { 404, "{}" };
      }
      const std::int64_t revision = Write(
        Field(request.mBody, "key"), Field(request.mBody, "value"), lease);
      return { 200, "{\"revision\":" + std::to_string(revision) + "}" };
    }
    return { 404, "{}" };
  }
  void Handle(int fd)
  {
    Reader reader(fd);
    Message request;
    while (reader.Whole(request, NowMs() + 600'000)) {
      const auto [status, body] = Answer(request);
      if (!SendAll(fd,
                   "HTTP/1.1 " + std::to_string(status) +
                     " X\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body)) {
        break;
      }
    }
    close(fd);
  }

  struct Lease
  {
    std::int64_t mTtl = 0;
    std::int64_t mEnd = 0;
  };

  Record& mRecord;
  std::uint16_t mPort = 0;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::int64_t mRevision = 100;
  std::int64_t mNextLease = 7001;
  std::map<std::string, Item> mItems;
  std::map<std::int64_t, Lease> mLeases;
  std::deque<std::pair<std::int64_t, std::string>> mEvents;
};

/// Value of servers/ID.
inline std::string ServerEntry(const std::string& service,
                               std::uint16_t port,
                               const std::string& zone,
                               int slots,
                               const std::string& state,
                               int sequence,
                               std::int64_t born)
{
  return "{\"address\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"born\":" + std::to_string(born) + ",\"info\":{\"service\":\"" +
         service + "\",\"version\":\"v1\",\"zone\":\"" + zone +
         "\",\"slots\":" + std::to_string(slots) +
         "},\"status\":{\"state\":\"" + state +
         "\",\"sequence\":" + std::to_string(sequence) +
         ",\"cold_remaining\":\"0ms\"}}";
}

/// A route of host shop.example.
struct Route
{
  std::string mName;
  std::string mPrefix;
  std::string mKind;
  std::string mTimeout = "8000ms";
  std::string mTarget = "2000ms";
  std::string mService;
};

inline std::string Config(int version,
                          const std::vector<Route>& routes,
                          const std::vector<std::string>& services,
                          double rate = 0,
                          double burst = 0)
{
  std::string text =
    "{\"version\":\"r" + std::to_string(version) +
    "\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\","
    "\"timeout\",\"target_latency\",\"priority\",\"service\",\"max_attempts\","
    "\"public\",\"sticky\",\"allowed_regions\",\"weighted_services\"],"
    "\"rows\":[";
  for (std::size_t n = 0; n < routes.size(); ++n) {
    const Route& route = routes[n];
    text += std::string(n > 0 ? "," : "") + "[\"" + route.mName +
            "\",\"shop.example\",\"" + route.mPrefix + "\",\"" + route.mKind +
            "\",\"" + route.mTimeout + "\",\"" + route.mTarget + "\",0,\"" +
            route.mService + "\",2,false,false,[],null]";
  }
  text += "]},\"services\":{\"columns\":[\"name\",\"health_path\","
          "\"max_connections\",\"protocol\",\"tls\",\"cold\",\"cold_per_s\"],"
          "\"rows\":[";
  for (std::size_t n = 0; n < services.size(); ++n) {
    text += std::string(n > 0 ? "," : "") + "[\"" + services[n] +
            "\",\"/healthz\",390,\"h1\",false,\"3s\",7.3]";
  }
  std::ostringstream tenants;
  tenants << "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
             "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
             "\"15000ms\"},\"tenants\":{\"columns\":[\"name\",\"api_keys\","
             "\"priority\",\"rate_per_s\",\"burst\",\"allowed_regions\"],"
             "\"rows\":[[\"kaje80\",[\"b9wu3fexd9dnn2ctnfzs\"],1,"
          << rate << "," << burst << ",[]]]}}";
  return text + tenants.str();
}

inline const char* ApiKey()
{
  return "b9wu3fexd9dnn2ctnfzs";
}

// ---------------------------------------------------------------- gateway

/// A gateway process, started with the command of the deploy file and settings
/// as the template gives them.
class Gateway
{
public:
  struct Options
  {
    std::string mName;
    std::string mRegion = "accra";
    std::string mZone = "accra-osu";
    int mMemoryMb = 260;
  };

  Gateway(Record& record,
          std::string directory,
          Options options,
          std::uint16_t store)
    : mRecord(record)
    , mDirectory(std::move(directory))
    , mOptions(std::move(options))
    , mPorts(FreePorts(5))
    , mStore(store)
  {
  }
  ~Gateway() { Kill(); }

  void Start()
  {
    const std::string path = mDirectory + "/" + mOptions.mName + ".yaml";
    std::ofstream file(path);
    const auto endpoint = [](std::uint16_t port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    file << "vm: \"" << mOptions.mName << "\"\nregion: \"" << mOptions.mRegion
         << "\"\nfailure_domain: \"" << mOptions.mZone
         << "\"\ncallers: " << endpoint(mPorts[0])
         << "readiness: " << endpoint(mPorts[1])
         << "lookups: " << endpoint(mPorts[2])
         << "peers: " << endpoint(mPorts[3])
         << "metrics: " << endpoint(mPorts[4]) << "store: " << endpoint(mStore)
         << "lease_ttl_min: \"1000ms\"\nregions:\n"
            "  \"accra-osu\": \"accra\"\n  \"kumasi-adum\": \"kumasi\"\n"
            "  \"tamale-central\": \"tamale\"\n"
            "  \"accra-tema\": \"accra\"\n  \"kumasi-suame\": \"kumasi\"\n"
            "  \"tamale-lamashegu\": \"tamale\"\n"
            "lookup_lifetime_max: \"5s\"\nstop_limit: \"6s\"\n"
            "retry_ratio: \"0.2\"\nretry_allowance: \"62\"\n"
            "retry_window: \"10s\"\ncold_overshoot: \"1.5\"\n"
            "cold_slack: \"5\"\nfile_limit: \"4100\"\nmemory_limit_mb: \""
         << mOptions.mMemoryMb
         << "\"\nmax_shift: \"0.15\"\nlink_mbps: \"1000.0\"\n";
    file.close();
    const std::string log = mDirectory + "/" + mOptions.mName + ".log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      setenv("CRANBERRYWING_BOOT", path.c_str(), 1);
      execl("target/bin/cranberrywing-gateway",
            "target/bin/cranberrywing-gateway",
            nullptr);
      _exit(127);
    }
    mPid = pid;
    mRecord.Line("%s: started, process %d", mOptions.mName.c_str(), pid);
  }
  /// Waits until the process says that it is ready.
  bool AwaitReady(std::int64_t ms = 15'000)
  {
    const std::int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      if (IsReady()) {
        mRecord.Line("%s: ready", mOptions.mName.c_str());
        return true;
      }
      SleepMs(100);
    }
    return false;
  }
  bool IsReady()
  {
    const int fd = Connect(mPorts[1]);
    bool isReady = false;
    if (fd >= 0) {
      SendAll(fd, "GET /cranberrywing/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
      Reader reader(fd);
      Message answer;
      isReady = reader.Whole(answer, NowMs() + 1000) && answer.Status() == 200;
      close(fd);
    }
    return isReady;
  }
  void Signal(int number)
  {
    if (mPid > 0) {
      kill(mPid, number);
    }
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = 0;
    }
  }
  /// Whether the process runs; notes how it ended.
  bool IsRunning()
  {
    int status = 0;
    if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
      mRecord.Line(
        "%s: process ended, status %d", mOptions.mName.c_str(), status);
      mPid = 0;
    }
    return mPid > 0;
  }
  /// Resident memory in MB.
  double ResidentMb() const
  {
    std::ifstream file("/proc/" + std::to_string(mPid) + "/statm");
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }
  std::uint16_t Front() const { return mPorts[0]; }
  std::uint16_t Directory() const { return mPorts[2]; }
  std::uint16_t Peers() const { return mPorts[3]; }
  const std::string& Name() const { return mOptions.mName; }

private:
  Record& mRecord;
  std::string mDirectory;
  Options mOptions;
  std::vector<std::uint16_t> mPorts;
  std::uint16_t mStore;
  pid_t mPid = 0;
};

/// Temporary folder that is removed at the end.
class Folder
{
public:
  Folder()
  {
    const char* const base = std::getenv("TMPDIR");
    mPath = std::string(base ? base : "/tmp") + "/review-3-XXXXXX";
    if (!mkdtemp(mPath.data())) {
      std::exit(2);
    }
  }
  void Remove() const
  {
    if (!std::getenv("KEEP")) {
      for (const char* const suffix : { ".yaml", ".log" }) {
        for (int n = 0; n < 20; ++n) {
          unlink((mPath + "/edge-" + std::to_string(n) + suffix).c_str());
        }
      }
      rmdir(mPath.c_str());
    }
  }
  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

/// Ends the process, although threads of the stand-ins still run.
[[noreturn]] inline void Finish(Record& record,
                                const Folder& folder,
                                int result)
{
  record.Line("result %d", result);
  folder.Remove();
  std::fflush(nullptr);
  _exit(result);
}

/// Lets this process and those that it starts open as many sockets as a
/// machine of the platform may (max_fds); false if the system forbids it.
inline bool AllowDescriptors(rlim_t count = 4100)
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < count) {
    limit.rlim_cur = count;
    limit.rlim_max = std::max(limit.rlim_max, count);
  }
  return setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

inline bool HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

inline std::string RequestHead(const std::string& method,
                               const std::string& target,
                               const std::string& id,
                               int deadlineMs,
                               std::size_t length)
{
  return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "Attempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadlineMs) +
         "\r\nAuthorization: Bearer " + ApiKey() +
         (length > 0 ? "\r\nContent-Length: " + std::to_string(length) : "") +
         "\r\n\r\n";
}

} // namespace standin
