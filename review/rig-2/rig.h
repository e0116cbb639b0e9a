// Stand-ins for the outside systems of a small deployment: the platform's
// store, instances, clients, and the platform's part of starting, stopping and
// ending gateway processes. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline long long NowMs()
{
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart)
    .count();
}

inline void SleepMs(long long ms)
{
  if (ms > 0) {
    std::this_thread::sleep_for(milliseconds(ms));
  }
}

inline long long UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// What was sent, answered and run, a line each.
class Record
{
public:
  explicit Record(const std::string& path)
    : file(path)
  {
  }
  void Line(const std::string& text)
  {
    const std::lock_guard lock(mutex);
    file << NowMs() << " ms  " << text << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
};

inline int Listen(int port, int* bound)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  if (bound) {
    *bound = ntohs(address.sin_port);
  }
  return fd;
}

inline int Connect(int port)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

// A run of consecutive ports below the range for outgoing connections that were
// free a moment ago.
inline int FreePorts(int count)
{
  static std::atomic<int> next{ 15000 + static_cast<int>(getpid() % 400) * 40 };
  for (int tries = 0; tries < 400; ++tries) {
    const int first = next.fetch_add(count);
    bool free = first + count < 32000;
    for (int n = 0; n < count && free; ++n) {
      const int fd = Listen(first + n, nullptr);
      free = fd >= 0;
      if (fd >= 0) {
        close(fd);
      }
    }
    if (free) {
      return first;
    }
    if (first + 2 * count > 32000) {
      next = 15000;
    }
  }
  return 0;
}

struct Message
{
  std::string method, target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const char* name) const
  {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return {};
  }
};

// Reads messages with a length from one connection.
class Reader
{
public:
  explicit Reader(int fd)
    : fd(fd)
  {
  }

  // False at the end of the connection, or if the limit is reached (0: none).
  bool Read(Message& message, bool isResponse, int limitMs = 0)
  {
    const auto end = Clock::now() + milliseconds(limitMs);
    size_t head;
    while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(limitMs, end)) {
        return false;
      }
    }
    message = {};
    std::istringstream lines(buffer.substr(0, head));
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string version;
    if (isResponse) {
      first >> version >> message.status;
    } else {
      first >> message.method >> message.target;
    }
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
      }
    }
    const size_t length =
      std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < head + 4 + length) {
      if (!Fill(limitMs, end)) {
        return false;
      }
    }
    message.body = buffer.substr(head + 4, length);
    buffer.erase(0, head + 4 + length);
    return true;
  }

private:
  bool Fill(int limitMs, Clock::time_point end)
  {
    if (limitMs > 0) {
      const auto left =
        std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
      pollfd entry{ fd, POLLIN, 0 };
      if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    char bytes[65536];
    const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int fd;
  std::string buffer;
};

inline bool Write(int fd, const std::string& text)
{
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t count =
      send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<size_t>(count);
  }
  return true;
}

inline std::string Response(int status,
                            const std::string& fields,
                            const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Base64(const std::string& bytes)
{
  static const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve(bytes.size() * 4 / 3 + 4);
  for (size_t n = 0; n < bytes.size(); n += 3) {
    unsigned group = static_cast<unsigned char>(bytes[n]) << 16;
    if (n + 1 < bytes.size()) {
      group |= static_cast<unsigned char>(bytes[n + 1]) << 8;
    }
    if (n + 2 < bytes.size()) {
      group |= static_cast<unsigned char>(bytes[n + 2]);
    }
    text += digits[group >> 18];
    text += digits[(group >> 12) & 63];
    text += n + 1 < bytes.size() ? digits[(group >> 6) & 63] : '=';
    text += n + 2 < bytes.size() ? digits[group & 63] : '=';
  }
  return text;
}

// The text of a JSON member: a string without escapes, or a number. Enough for
// what gateways send.
inline std::string Member(const std::string& json, const std::string& name)
{
  size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos) {
    return {};
  }
  at += name.size() + 3;
  const bool isText = json[at] == '"';
  const size_t first = isText ? at + 1 : at;
  const size_t last =
    isText ? json.find('"', first) : json.find_first_of(",}]", first);
  return json.substr(first, last - first);
}

inline std::string Parameter(const std::string& target, const std::string& name)
{
  size_t at = target.find("?" + name + "=");
  if (at == std::string::npos) {
    at = target.find("&" + name + "=");
  }
  if (at == std::string::npos) {
    return {};
  }
  at += name.size() + 2;
  const std::string text = target.substr(at, target.find('&', at) - at);
  std::string decoded;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      decoded += static_cast<char>(
        std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
      n += 2;
    } else {
      decoded += text[n];
    }
  }
  return decoded;
}

// Accepts connections on a port, each served by a thread of its own, until it
// is stopped.
class Server
{
public:
  virtual ~Server() = default;

  bool Open(int port)
  {
    listener = Listen(port, &this->port);
    if (listener < 0) {
      return false;
    }
    isOpen = true;
    std::thread([this, fd = listener] { Accept(fd); }).detach();
    return true;
  }

  int Port() const { return port; }

protected:
  virtual void Serve(int fd) = 0;

  // As when a process is killed: no listener, and all connections are reset.
  void Crash()
  {
    const std::lock_guard lock(mutex);
    isOpen = false;
    shutdown(listener, SHUT_RDWR);
    close(listener);
    for (const int fd : open) {
      const linger reset{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      // Ends the thread's read; the thread closes the descriptor, which sends
      // the reset.
      shutdown(fd, SHUT_RD);
    }
  }

  std::mutex mutex;
  std::atomic<bool> isOpen{ false };

private:
  void Accept(int fd)
  {
    while (isOpen) {
      const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        return;
      }
      const int one = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        const std::lock_guard lock(mutex);
        open.insert(connection);
      }
      std::thread([this, connection] {
        Serve(connection);
        const std::lock_guard lock(mutex);
        open.erase(connection);
        close(connection);
      }).detach();
    }
  }

  int listener = -1;
  int port = 0;
  std::set<int> open;
};

// The platform's store.
class Store : public Server
{
public:
  Store()
  {
    std::thread([this] { EndLeases(); }).detach();
  }

  void Set(const std::string& key,
           const std::string& value,
           long long lease = 0)
  {
    const std::lock_guard lock(data);
    SetLocked(key, Base64(value), lease);
  }

  void Remove(const std::string& key)
  {
    const std::lock_guard lock(data);
    RemoveLocked(key);
  }

private:
  struct Item
  {
    std::string value;
    long long revision = 0, created = 0, lease = 0;
  };
  struct Event
  {
    long long revision;
    std::string text;
    Clock::time_point at;
  };

  static std::string Text(const std::string& key, const Item& item)
  {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created_rev\":" + std::to_string(item.created) +
           ",\"lease\":" + std::to_string(item.lease) + "}";
  }

  void SetLocked(const std::string& key,
                 const std::string& value,
                 long long lease)
  {
    Item& item = items[key];
    item.value = value;
    item.revision = ++revision;
    item.created = item.created ? item.created : revision;
    item.lease = lease;
    Tell(Text(key, item));
  }

  void RemoveLocked(const std::string& key)
  {
    if (items.erase(key) > 0) {
      ++revision;
      Tell("{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision) +
           ",\"tombstone\":true}");
    }
  }

  void Tell(std::string text)
  {
    const auto now = Clock::now();
    events.push_back({ revision, std::move(text), now });
    while (!events.empty() &&
           now - events.front().at > std::chrono::seconds(20)) {
      forgotten = events.front().revision;
      events.erase(events.begin());
    }
    changed.notify_all();
  }

  void EndLeases()
  {
    for (;;) {
      SleepMs(50);
      const std::lock_guard lock(data);
      std::vector<std::string> ended;
      for (auto it = leases.begin(); it != leases.end();) {
        if (Clock::now() < it->second.first) {
          ++it;
          continue;
        }
        for (const auto& [key, item] : items) {
          if (item.lease == it->first) {
            ended.push_back(key);
          }
        }
        it = leases.erase(it);
      }
      for (const std::string& key : ended) {
        RemoveLocked(key);
      }
    }
  }

  std::pair<int, std::string> Call(const Message& request)
  {
    std::unique_lock lock(data);
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto number = [](const std::string& text) {
      return std::strtoll(text.c_str(), nullptr, 10);
    };
    const std::string current = "\"current_rev\":";
    if (path == "/cranberrywing/kv-range") {
      const std::string prefix = Parameter(request.target, "prefix");
      std::string list;
      bool more = false;
      int count = 0;
      for (auto it = items.upper_bound(Parameter(request.target, "after"));
           it != items.end();
           ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) {
          continue;
        }
        if (count == 500 ||
            (count > 0 && list.size() + it->second.value.size() > 1'500'000)) {
          more = true;
          break;
        }
        list += (count++ ? "," : "") + Text(it->first, it->second);
      }
      return { 200,
               "{\"items\":[" + list +
                 "],\"has_more\":" + (more ? "true" : "false") + "," + current +
                 std::to_string(revision) + "}" };
    }
    if (path == "/cranberrywing/kv-watch") {
      const long long after = number(Parameter(request.target, "after"));
      const std::string prefix = Parameter(request.target, "prefix");
      if (after < forgotten) {
        return { 410, "{}" };
      }
      changed.wait_for(
        lock, milliseconds(number(Parameter(request.target, "wait_ms"))), [&] {
          return revision > after;
        });
      std::string list;
      for (const Event& event : events) {
        if (event.revision > after) {
          list += (list.empty() ? "" : ",") + event.text;
        }
      }
      return { 200,
               "{\"events\":[" + list + "]," + current +
                 std::to_string(revision) + "}" };
    }
    if (path == "/cranberrywing/kv-lease") {
      const std::string ttl = Member(request.body, "ttl_time");
      const milliseconds time(number(ttl));
      leases[++lastLease] = { Clock::now() + time, time };
      return { 200,
               "{\"lease\":" + std::to_string(lastLease) + ",\"ttl_time\":\"" +
                 ttl + "\"}" };
    }
    const std::string id = path.substr(path.rfind('/') + 1);
    if (path.find("/kv-keep/") != std::string::npos) {
      const auto it = leases.find(number(id));
      if (it == leases.end()) {
        return { 404, "{}" };
      }
      it->second.first = Clock::now() + it->second.second;
      return { 200,
               "{\"ttl_time\":\"" + std::to_string(it->second.second.count()) +
                 "ms\"}" };
    }
    if (path.find("/kv-lease-end/") != std::string::npos) {
      const auto it = leases.find(number(id));
      if (it != leases.end()) {
        it->second.first = Clock::now();
      }
      return { 200, "{}" };
    }
    if (path == "/cranberrywing/kv-txn") {
      // Gateways set one key a call, without a condition.
      const std::string key = Member(request.body, "key");
      const long long lease = number(Member(request.body, "lease"));
      if (lease != 0 && !leases.contains(lease)) {
        return { 404, "{}" };
      }
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
        return { 403, "{}" };
      }
      SetLocked(key, Member(request.body, "value"), lease);
      return { 200, "{\"revision\":" + std::to_string(revision) + "}" };
    }
    return { 404, "{}" };
  }

  void Serve(int fd) override
  {
    Reader reader(fd);
    Message request;
    while (reader.Read(request, false)) {
      const auto [status, body] = Call(request);
      if (!Write(
            fd, Response(status, "Content-Type: application/json\r\n", body))) {
        return;
      }
    }
  }

  std::mutex data;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::map<long long, std::pair<Clock::time_point, milliseconds>> leases;
  long long revision = 100, forgotten = 0, lastLease = 1000;
};

// An instance of a service. It reports to the store, answers health checks, and
// runs requests.
class Instance : public Server
{
public:
  struct Options
  {
    std::string id, service, zone;
    int slots = 4;
    int workMs = 20;
  };
  // Called when a request begins to run; true if it crashes the instance.
  using Runs = std::function<bool(const Message&, const std::string& id)>;

  Instance(Store& store, Options options, Runs runs)
    : store(store)
    , options(std::move(options))
    , runs(std::move(runs))
  {
  }

  bool Begin(int atPort)
  {
    if (!Open(atPort)) {
      return false;
    }
    born = UnixMs();
    sequence = 0;
    const long long lifetime = ++lifetimes;
    std::thread([this, lifetime] {
      while (lifetimes == lifetime && isOpen) {
        Report();
        SleepMs(1500);
      }
    }).detach();
    return true;
  }

  // Crashes, and is back at its address after some seconds. Its entry goes
  // after three reports' time of silence.
  void CrashFor(int backMs, const std::string& nextId)
  {
    ++lifetimes;
    Crash();
    const std::string lastId = options.id;
    std::thread([this, backMs, nextId, lastId] {
      SleepMs(backMs);
      options.id = nextId;
      while (!Begin(Port())) {
        SleepMs(20);
      }
      if (nextId != lastId) {
        SleepMs(4500 - backMs);
        store.Remove("servers/" + lastId);
      }
    }).detach();
  }

  std::string Id() const { return options.id; }
  bool IsUp() const { return isOpen; }

private:
  void Report()
  {
    store.Set("servers/" + options.id,
              "{\"address\":\"127.0.0.1:" + std::to_string(Port()) +
                "\",\"born\":" + std::to_string(born) +
                ",\"info\":{\"service\":\"" + options.service +
                "\",\"version\":\"v1\",\"zone\":\"" + options.zone +
                "\",\"slots\":" + std::to_string(options.slots) +
                "},\"status\":{\"state\":\"ready\",\"sequence\":" +
                std::to_string(++sequence) + ",\"cold_remaining\":\"0ms\"}}");
  }

  void Serve(int fd) override
  {
    Reader reader(fd);
    Message request;
    while (reader.Read(request, false)) {
      const std::string own = "Instance-Id: " + options.id + "\r\n";
      const std::string attempt = request.Field("Attempt-Id");
      const std::string echo =
        attempt.empty() ? "" : "Attempt-Id: " + attempt + "\r\n";
      const std::string load =
        "Instance-Load: 1,0," + std::to_string(options.slots) + "\r\n";
      std::string answer;
      if (request.target == "/healthz") {
        answer = Response(200, own + load, "");
      } else if (request.Field("Expect-Instance") != options.id) {
        answer = Response(421, own + echo + "Not-Executed: 1\r\n", "");
      } else if (runs(request, options.id)) {
        return;
      } else {
        SleepMs(options.workMs);
        answer =
          Response(200,
                   echo + load + "Response-Signature: s." + attempt + "\r\n",
                   "run " + attempt);
      }
      if (!isOpen || !Write(fd, answer)) {
        return;
      }
    }
  }

  Store& store;
  Options options;
  Runs runs;
  long long born = 0;
  std::atomic<long long> sequence{ 0 }, lifetimes{ 0 };
};

// A gateway process, started with the command and the settings of the deploy
// file.
class Gateway
{
public:
  Gateway(std::string name,
          std::string region,
          std::string zone,
          int storePort,
          std::string folder)
    : name(std::move(name))
    , folder(std::move(folder))
  {
    first = FreePorts(5);
    const auto at = [this](int offset) {
      return "\"127.0.0.1:" + std::to_string(first + offset) + "\"\n";
    };
    std::ofstream file(Settings());
    file << "vm: \"" << this->name << "\"\nregion: \"" << region
         << "\"\nfailure_domain: \"" << zone << "\"\ncallers: " << at(0)
         << "readiness: " << at(1) << "lookups: " << at(2) << "peers: " << at(3)
         << "metrics: " << at(4) << "store: \"127.0.0.1:" << storePort
         << "\"\nlease_ttl_min: \"1000ms\"\nregions:\n  \"accra-osu\": "
            "\"accra\"\n  \"accra-tema\": \"accra\"\n"
            "  \"kumasi-adum\": \"kumasi\"\nlookup_lifetime_max: "
            "\"5s\"\nstop_limit: \"6s\"\nretry_ratio: \"0.2\"\n"
            "retry_allowance: \"62\"\nretry_window: \"10s\"\ncold_overshoot: "
            "\"1.5\"\ncold_slack: \"5\"\n"
            "file_limit: \"4100\"\nmemory_limit_mb: \"260\"\nmax_shift: "
            "\"0.15\"\nlink_mbps: \"1000\"\n";
  }
  ~Gateway() { End(); }

  const std::string& Name() const { return name; }
  int Callers() const { return first; }
  pid_t Pid() const { return pid; }

  void Start()
  {
    // Prepared before the fork: the child may only make simple calls.
    const std::string variable = "CRANBERRYWING_BOOT=" + Settings();
    const std::string log = folder + "/" + name + ".log";
    const std::string path =
      std::string("PATH=") +
      (getenv("PATH") ? getenv("PATH") : "/usr/bin:/bin");
    const char* environment[] = { variable.c_str(), path.c_str(), nullptr };
    const char* program = "target/bin/cranberrywing-gateway";
    const char* arguments[] = { program, nullptr };
    const pid_t child = fork();
    if (child == 0) {
      // The gateway ends with the stand-ins, however these end.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execve(program,
             const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
      _exit(127);
    }
    pid = child;
  }

  void Signal(int number)
  {
    if (pid > 0) {
      kill(pid, number);
    }
  }

  // The status of a process that has ended since the last call.
  std::optional<int> TakeEnd()
  {
    int status = 0;
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
      pid = 0;
      return status;
    }
    return std::nullopt;
  }

  void End()
  {
    if (pid > 0) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
      pid = 0;
    }
  }

  // Resident memory in MB.
  long MemoryMb() const
  {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    long all = 0, resident = 0;
    return file >> all >> resident
             ? resident * (sysconf(_SC_PAGESIZE) / 1024) / 1024
             : 0;
  }

  bool IsReady() const
  {
    const int fd = Connect(first + 1);
    if (fd < 0) {
      return false;
    }
    Message answer;
    const bool isReady =
      Write(fd, "GET /cranberrywing/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
      Reader(fd).Read(answer, true, 1000) && answer.status == 200;
    close(fd);
    return isReady;
  }

private:
  std::string Settings() const { return folder + "/" + name + ".yaml"; }

  std::string name, folder;
  int first = 0;
  pid_t pid = 0;
};

// Sends one request on a new connection and returns the status; 0 if there is
// no answer within the limit.
inline int Ask(int port,
               const std::string& text,
               int limitMs,
               Message* answer = nullptr)
{
  const int fd = Connect(port);
  if (fd < 0) {
    return 0;
  }
  Message message;
  const bool isAnswered =
    Write(fd, text) && Reader(fd).Read(message, true, limitMs);
  close(fd);
  if (answer) {
    *answer = message;
  }
  return isAnswered ? message.status : 0;
}

inline std::string Request(const std::string& method,
                           const std::string& target,
                           const std::string& attempt,
                           int deadlineMs,
                           const std::string& key,
                           const std::string& body)
{
  return method + " " + target +
         " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt +
         "\r\nAffinity-Key: 17\r\nDeadline-Ms: " + std::to_string(deadlineMs) +
         "\r\nAuthorization: Bearer " + key +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// A configuration of two routes, two services and one tenant without a limit.
inline std::string Configuration(int version)
{
  return "{\"version\":\"r" + std::to_string(version) +
         "\",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\","
         "\"timeout\",\"target_latency\",\"priority\","
         "\"service\",\"max_attempts\",\"public\",\"sticky\",\"allowed_"
         "regions\",\"weighted_services\"],\"rows\":["
         "[\"look\",\"shop.example\",\"/look/"
         "\",\"idempotent\",\"800ms\",\"400ms\",2,\"shopdesk\",2,false,true,[],"
         "null],"
         "[\"pay\",\"shop.example\",\"/pay/"
         "\",\"non_idempotent\",\"1500ms\",\"250ms\",0,\"ledger\",2,false,true,"
         "[],null]"
         "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_"
         "connections\",\"protocol\",\"tls\",\"cold\","
         "\"cold_per_s\"],\"rows\":[[\"shopdesk\",\"/"
         "healthz\",390,\"h1\",false,\"3s\",7.3],"
         "[\"ledger\",\"/"
         "healthz\",390,\"h1\",false,\"3s\",7.3]]},\"limits\":{\"max_header_"
         "bytes\":16384,"
         "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_"
         "timeout\":\"15000ms\"},\"tenants\":{"
         "\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","
         "\"burst\",\"allowed_regions\"],\"rows\":["
         "[\"kaje80\",[\"b9wu3fexd9dnn2ctnfzs\"],1,0,0,[]]]}}";
}

inline const std::string kKey = "b9wu3fexd9dnn2ctnfzs";

} // namespace rig
