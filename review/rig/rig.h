// Stand-ins for the cases of this folder: the platform's store, instances,
// clients and the starting and stopping of the gateway's processes. All run in
// one process beside the real gateways and speak what the users' pages say.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

namespace json = boost::json;

// ---------------------------------------------------------------- time, record

inline std::int64_t NowMs()
{
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline std::int64_t UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

inline void SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline void SleepUntil(std::int64_t aAtMs)
{
  const std::int64_t left = aAtMs - NowMs();
  if (left > 0) {
    SleepMs(left);
  }
}

inline std::mutex& RecordMutex()
{
  static std::mutex mutex;
  return mutex;
}

inline FILE*& RecordFile()
{
  static FILE* file = nullptr;
  return file;
}

/// Writes a line with the time in milliseconds to record.txt.
inline void Record(const char* aFormat, ...)
{
  const std::lock_guard lock(RecordMutex());
  if (!RecordFile()) {
    return;
  }
  std::fprintf(RecordFile(), "%7lld ", static_cast<long long>(NowMs()));
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(RecordFile(), aFormat, arguments);
  va_end(arguments);
  std::fputc('\n', RecordFile());
  std::fflush(RecordFile());
}

// ------------------------------------------------------------------- sockets

struct Address
{
  std::string mIp;
  int mPort = 0;
  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

inline sockaddr_in ToSockaddr(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToSockaddr(aAddress);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Connects within the time; -1 if that fails.
inline int Connect(const Address& aAddress, int aTimeoutMs)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = ToSockaddr(aAddress);
  const int started =
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (started != 0 && errno == EINPROGRESS) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&wait, 1, aTimeoutMs) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  } else if (started != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t n =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// ---------------------------------------------------------------------- HTTP

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Lower(std::string aText)
{
  for (char& letter : aText) {
    letter =
      static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return aText;
}

struct Message
{
  std::string mStart;
  Headers mHeaders;
  std::string mBody;

  std::string Get(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (Lower(name) == Lower(aName)) {
        return value;
      }
    }
    return {};
  }
  bool Has(const std::string& aName) const
  {
    for (const auto& header : mHeaders) {
      if (Lower(header.first) == Lower(aName)) {
        return true;
      }
    }
    return false;
  }
  int Status() const
  {
    return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0;
  }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const auto first = mStart.find(' ') + 1;
    return mStart.substr(first, mStart.find(' ', first) - first);
  }
};

enum class ReadEnd
{
  Whole,   ///< a whole message
  Closed,  ///< the connection ended before the first byte
  Partial, ///< the connection ended within the message
  Timeout,
};

/// Reads messages with a Content-Length from one connection.
class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }

  ReadEnd Read(Message& aMessage, std::int64_t aTimeoutMs, bool aIsHead = false)
  {
    const std::int64_t end = NowMs() + aTimeoutMs;
    aMessage = {};
    std::size_t head = std::string::npos;
    while ((head = mBytes.find("\r\n\r\n")) == std::string::npos) {
      const ReadEnd more = More(end);
      if (more != ReadEnd::Whole) {
        return more == ReadEnd::Closed && !mBytes.empty() ? ReadEnd::Partial
                                                          : more;
      }
    }
    std::istringstream lines(mBytes.substr(0, head + 2));
    std::string line;
    std::getline(lines, line);
    aMessage.mStart = line.substr(0, line.size() - 1);
    while (std::getline(lines, line) && line.size() > 1) {
      const auto colon = line.find(':');
      std::string value = line.substr(colon + 1);
      value = value.substr(value.find_first_not_of(" \t"));
      value = value.substr(0, value.size() - 1);
      aMessage.mHeaders.emplace_back(line.substr(0, colon), value);
    }
    mBytes.erase(0, head + 4);
    const std::string text = aMessage.Get("Content-Length");
    const std::size_t length =
      text.empty() || aIsHead ? 0 : std::strtoull(text.c_str(), nullptr, 10);
    while (mBytes.size() < length) {
      const ReadEnd more = More(end);
      if (more != ReadEnd::Whole) {
        return more == ReadEnd::Closed ? ReadEnd::Partial : more;
      }
    }
    aMessage.mBody = mBytes.substr(0, length);
    mBytes.erase(0, length);
    return ReadEnd::Whole;
  }

  bool HasBytes() const { return !mBytes.empty(); }

private:
  ReadEnd More(std::int64_t aEnd)
  {
    pollfd wait{ mFd, POLLIN, 0 };
    const std::int64_t left = aEnd - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
      return ReadEnd::Timeout;
    }
    std::string part(256 * 1024, '\0');
    const ssize_t n = recv(mFd, part.data(), part.size(), 0);
    if (n <= 0) {
      return ReadEnd::Closed;
    }
    mBytes.append(part, 0, static_cast<std::size_t>(n));
    return ReadEnd::Whole;
  }

  int mFd;
  std::string mBytes;
};

inline std::string Serialize(const std::string& aStart,
                             const Headers& aHeaders,
                             const std::string& aBody)
{
  std::string text = aStart + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

struct Reply
{
  int mStatus = 200;
  Headers mHeaders;
  std::string mBody;
  bool mDropsConnection = false; ///< no answer; the connection is reset
  bool mIsSilent = false;        ///< no answer; the connection stays open
  bool mCloses = false;
};

/// True if the peer has closed the connection.
inline bool IsPeerGone(int aFd)
{
  pollfd wait{ aFd, POLLIN | POLLRDHUP, 0 };
  return poll(&wait, 1, 0) == 1 &&
         (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

inline void Reset(int aFd)
{
  const linger now{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/// Serves one request at a time on each connection.
class Server
{
public:
  using Handler = std::function<Reply(const Message&, int aFd)>;

  ~Server() { Stop(); }

  bool Start(const Address& aAddress, Handler aHandler)
  {
    mListener = Listen(aAddress);
    if (mListener < 0) {
      return false;
    }
    mState = std::make_shared<State>();
    std::thread([listener = mListener,
                 handler = std::move(aHandler),
                 state = mState] {
      for (;;) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
          const std::lock_guard lock(state->mMutex);
          if (state->mIsStopped) {
            close(fd);
            continue;
          }
          state->mOpen.insert({ fd, true });
        }
        std::thread([fd, handler, state] {
          Serve(fd, handler, *state);
        }).detach();
      }
    }).detach();
    return true;
  }

  /// Ends as a process that is killed: all connections end at once.
  void Stop()
  {
    if (mListener < 0) {
      return;
    }
    shutdown(mListener, SHUT_RDWR);
    close(mListener);
    mListener = -1;
    const std::lock_guard lock(mState->mMutex);
    mState->mIsStopped = true;
    for (const auto& [fd, isOpen] : mState->mOpen) {
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  struct State
  {
    std::mutex mMutex;
    std::map<int, bool> mOpen;
    bool mIsStopped = false;
  };

  static void Serve(int aFd, const Handler& aHandler, State& aState)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, 3600 * 1000) == ReadEnd::Whole) {
      const Reply reply = aHandler(request, aFd);
      if (reply.mDropsConnection) {
        Reset(aFd);
        break;
      }
      if (reply.mIsSilent) {
        // A connection on which an answer is lost returns nothing further.
        while (reader.Read(request, 3600 * 1000) == ReadEnd::Whole) {
        }
        break;
      }
      Headers headers = reply.mHeaders;
      if (reply.mCloses) {
        headers.emplace_back("Connection", "close");
      }
      if (!SendAll(aFd,
                   Serialize("HTTP/1.1 " + std::to_string(reply.mStatus) + " X",
                             headers,
                             reply.mBody)) ||
          reply.mCloses) {
        break;
      }
    }
    {
      const std::lock_guard lock(aState.mMutex);
      aState.mOpen.erase(aFd);
    }
    close(aFd);
  }

  int mListener = -1;
  std::shared_ptr<State> mState;
};

// --------------------------------------------------------------------- store

inline std::string Base64(const std::string& aBytes)
{
  static const char* const letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < aBytes.size(); n += 3) {
    unsigned bits = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - n);
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8 |
             (k < count ? static_cast<unsigned char>(aBytes[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= count ? letters[bits >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& aText)
{
  std::string bytes;
  unsigned bits = 0;
  int count = 0;
  for (const char letter : aText) {
    int value = -1;
    if (letter >= 'A' && letter <= 'Z') {
      value = letter - 'A';
    } else if (letter >= 'a' && letter <= 'z') {
      value = letter - 'a' + 26;
    } else if (letter >= '0' && letter <= '9') {
      value = letter - '0' + 52;
    } else if (letter == '+') {
      value = 62;
    } else if (letter == '/') {
      value = 63;
    }
    if (value < 0) {
      break;
    }
    bits = bits << 6 | static_cast<unsigned>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> count & 255);
    }
  }
  return bytes;
}

inline std::string Unescape(const std::string& aText)
{
  std::string out;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '%' && n + 2 < aText.size()) {
      out += static_cast<char>(
        std::strtol(aText.substr(n + 1, 2).c_str(), nullptr, 16));
      n += 2;
    } else {
      out += aText[n];
    }
  }
  return out;
}

inline std::string Query(const std::string& aTarget, const std::string& aName)
{
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t next = aTarget.find('&', at + 1);
    const std::string part =
      aTarget.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (part.rfind(aName + "=", 0) == 0) {
      return Unescape(part.substr(aName.size() + 1));
    }
    at = next;
  }
  return {};
}

/// The platform's metadata store (PROTOCOL.md).
class Store
{
public:
  bool Start(const Address& aAddress)
  {
    std::thread([this] {
      for (;;) {
        SleepMs(20);
        ExpireLeases();
      }
    }).detach();
    return mServer.Start(aAddress, [this](const Message& aRequest, int aFd) {
      Reply reply = Handle(aRequest, aFd);
      ++mAnswers;
      if (mLosesAnswer && mLosesAnswer(aRequest, reply)) {
        reply.mIsSilent = true;
      }
      return reply;
    });
  }

  /// A write by the operator or an instance; returns its revision.
  std::int64_t Put(const std::string& aKey,
                   const std::string& aValue,
                   std::int64_t aLease = 0)
  {
    const std::lock_guard lock(mMutex);
    ++mAnswers;
    return PutLocked(aKey, aValue, aLease);
  }

  void Delete(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    DeleteLocked(aKey);
  }

  std::string Find(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mItems.find(aKey);
    return it == mItems.end() ? std::string() : it->second.mValue;
  }

  std::size_t Count(const std::string& aPrefix)
  {
    const std::lock_guard lock(mMutex);
    std::size_t count = 0;
    for (const auto& [key, item] : mItems) {
      count += key.rfind(aPrefix, 0) == 0 ? 1 : 0;
    }
    return count;
  }

  /// If set, tells whether the answer to a call that was carried out is lost.
  std::function<bool(const Message&, const Reply&)> mLosesAnswer;
  /// Calls that were carried out, those of instances and the operator too.
  std::atomic<int> mAnswers{ 0 };
  /// If set, decides on each call before it is carried out (a disruption).
  std::function<std::optional<Reply>(const Message&)> mFilter;

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mCreated = 0;
    std::int64_t mLease = 0;
  };
  struct Event
  {
    std::int64_t mRevision = 0;
    std::int64_t mAtMs = 0;
    json::object mText;
  };
  struct Lease
  {
    std::int64_t mTtlMs = 0;
    std::int64_t mEndMs = 0;
  };

  static json::object Text(const std::string& aKey, const Item& aItem)
  {
    return { { "key", aKey },
             { "value", Base64(aItem.mValue) },
             { "revision", aItem.mRevision },
             { "created_rev", aItem.mCreated },
             { "lease", aItem.mLease } };
  }

  std::int64_t PutLocked(const std::string& aKey,
                         const std::string& aValue,
                         std::int64_t aLease)
  {
    Item& item = mItems[aKey];
    item.mValue = aValue;
    item.mRevision = ++mRevision;
    item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
    item.mLease = aLease;
    mEvents.push_back({ mRevision, NowMs(), Text(aKey, item) });
    mChanged.notify_all();
    return mRevision;
  }

  void DeleteLocked(const std::string& aKey)
  {
    if (mItems.erase(aKey) == 0) {
      return;
    }
    ++mRevision;
    mEvents.push_back({ mRevision,
                        NowMs(),
                        { { "key", aKey },
                          { "revision", mRevision },
                          { "tombstone", true } } });
    mChanged.notify_all();
  }

  void EndLeaseLocked(std::int64_t aLease)
  {
    mLeases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item.mLease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      DeleteLocked(key);
    }
  }

  void ExpireLeases()
  {
    const std::lock_guard lock(mMutex);
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : mLeases) {
      if (lease.mEndMs <= NowMs()) {
        ended.push_back(id);
      }
    }
    for (const std::int64_t id : ended) {
      EndLeaseLocked(id);
    }
    while (!mEvents.empty() && NowMs() - mEvents.front().mAtMs > 20'000) {
      mForgotten = mEvents.front().mRevision;
      mEvents.pop_front();
    }
  }

  static Reply Json(const json::object& aObject)
  {
    return { .mStatus = 200,
             .mHeaders = { { "Content-Type", "application/json" } },
             .mBody = json::serialize(aObject) };
  }

  static std::int64_t ReadMs(const json::value& aText)
  {
    const std::string text(aText.as_string());
    const double number = std::strtod(text.c_str(), nullptr);
    return static_cast<std::int64_t>(
      text.size() > 2 && text.substr(text.size() - 2) == "ms" ? number
                                                              : number * 1000);
  }

  Reply Handle(const Message& aRequest, int aFd)
  {
    if (mFilter) {
      if (const auto reply = mFilter(aRequest)) {
        return *reply;
      }
    }
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/cranberrywing/kv-watch") {
      return Watch(target, aFd);
    }
    const std::lock_guard lock(mMutex);
    if (path == "/cranberrywing/kv-range") {
      return Range(target);
    }
    if (path == "/cranberrywing/kv-key") {
      const auto it = mItems.find(Query(target, "key"));
      if (it == mItems.end()) {
        return { .mStatus = 404 };
      }
      json::object item = Text(it->first, it->second);
      item["current_rev"] = mRevision;
      return Json(item);
    }
    if (path == "/cranberrywing/kv-lease") {
      const json::object body = json::parse(aRequest.mBody).as_object();
      const std::int64_t ttl = ReadMs(body.at("ttl_time"));
      const std::int64_t id = mNextLease++;
      mLeases[id] = { ttl, NowMs() + ttl };
      return Json(
        { { "lease", id }, { "ttl_time", std::to_string(ttl) + "ms" } });
    }
    if (path.rfind("/cranberrywing/kv-keep/", 0) == 0) {
      const auto it = mLeases.find(std::atoll(path.c_str() + 23));
      if (it == mLeases.end()) {
        return { .mStatus = 404 };
      }
      it->second.mEndMs = NowMs() + it->second.mTtlMs;
      return Json({ { "ttl_time", std::to_string(it->second.mTtlMs) + "ms" } });
    }
    if (path.rfind("/cranberrywing/kv-lease-end/", 0) == 0) {
      EndLeaseLocked(std::atoll(path.c_str() + 28));
      return Json({});
    }
    if (path == "/cranberrywing/kv-txn") {
      return Txn(json::parse(aRequest.mBody).as_object());
    }
    return { .mStatus = 404 };
  }

  Reply Txn(const json::object& aBody)
  {
    json::array known;
    bool holds = true;
    for (const json::value& each : aBody.at("precondition").as_array()) {
      const std::string key(each.at("key").as_string());
      const auto it = mItems.find(key);
      const std::int64_t revision =
        it == mItems.end() ? 0 : it->second.mRevision;
      holds =
        holds && revision == each.at("revision").to_number<std::int64_t>();
      if (it != mItems.end()) {
        known.push_back(Text(key, it->second));
      }
    }
    if (!holds) {
      Reply reply = Json({ { "items", known } });
      reply.mStatus = 412;
      return reply;
    }
    for (const json::value& each : aBody.at("writes").as_array()) {
      const std::int64_t lease = each.at("lease").to_number<std::int64_t>();
      if (lease != 0 && !mLeases.contains(lease)) {
        return { .mStatus = 404 };
      }
    }
    for (const json::value& each : aBody.at("writes").as_array()) {
      PutLocked(std::string(each.at("key").as_string()),
                FromBase64(std::string(each.at("value").as_string())),
                each.at("lease").to_number<std::int64_t>());
    }
    for (const json::value& each : aBody.at("deletes").as_array()) {
      DeleteLocked(std::string(each.as_string()));
    }
    return Json({ { "revision", mRevision } });
  }

  Reply Range(const std::string& aTarget)
  {
    const std::string prefix = Query(aTarget, "prefix");
    const std::string after = Query(aTarget, "after");
    json::array items;
    bool hasMore = false;
    for (const auto& [key, item] : mItems) {
      if (key.rfind(prefix, 0) != 0 || key <= after) {
        continue;
      }
      if (items.size() >= 500) {
        hasMore = true;
        break;
      }
      items.push_back(Text(key, item));
    }
    return Json({ { "items", items },
                  { "has_more", hasMore },
                  { "current_rev", mRevision } });
  }

  Reply Watch(const std::string& aTarget, int aFd)
  {
    const std::string prefix = Query(aTarget, "prefix");
    const std::int64_t after = std::atoll(Query(aTarget, "after").c_str());
    const std::int64_t end =
      NowMs() + std::atoll(Query(aTarget, "wait_ms").c_str());
    std::unique_lock lock(mMutex);
    for (;;) {
      if (after < mForgotten) {
        return { .mStatus = 410 };
      }
      json::array events;
      for (const Event& event : mEvents) {
        const std::string key(event.mText.at("key").as_string());
        if (event.mRevision > after && key.rfind(prefix, 0) == 0) {
          events.push_back(event.mText);
        }
      }
      if (!events.empty() || NowMs() >= end || IsPeerGone(aFd)) {
        return Json({ { "events", events }, { "current_rev", mRevision } });
      }
      mChanged.wait_for(lock, std::chrono::milliseconds(50));
    }
  }

  Server mServer;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::deque<Event> mEvents;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mRevision = 100;
  std::int64_t mForgotten = 0;
  std::int64_t mNextLease = 77120;
};

// ----------------------------------------------------------------- instances

struct Run
{
  std::int64_t mAtMs = 0;
  std::string mInstance;
  std::string mAttempt;
  std::string mTenant;
  std::string mTarget;
  bool mHasAnswered = false;
};

inline std::mutex& RunsMutex()
{
  static std::mutex mutex;
  return mutex;
}

inline std::deque<Run>& Runs()
{
  static std::deque<Run> runs;
  return runs;
}

/// One process of an instance. Its registration is written by Beat.
class Instance
{
public:
  struct Options
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    Address mAddress;
    int mSlots = 4;
    int mQueue = 12;
    int mWorkMs = 100;
    std::int64_t mColdMs = 0;
    std::size_t mAnswerBytes = 300;
  };

  Instance(Store& aStore, Options aOptions)
    : mStore(aStore)
    , mOptions(std::move(aOptions))
  {
  }

  bool Start()
  {
    mBorn = UnixMs();
    mColdUntil = NowMs() + mOptions.mColdMs;
    mIsRunning = true;
    if (!mServer.Start(mOptions.mAddress, [this](const Message& r, int aFd) {
          return Handle(r, aFd);
        })) {
      return false;
    }
    Beat();
    mNextBeat = NowMs() + kBeatMs;
    std::thread([this] {
      for (;;) {
        SleepUntil(mNextBeat);
        const std::lock_guard lock(mBeatMutex);
        if (!mIsRunning) {
          return;
        }
        mNextBeat += kBeatMs;
        if (!mLosesBeat.exchange(false)) {
          BeatLocked();
        }
      }
    }).detach();
    return true;
  }

  /// What the instance says of itself now.
  std::string Entry(bool aIsDraining)
  {
    const std::int64_t cold = std::max<std::int64_t>(0, mColdUntil - NowMs());
    return json::serialize(json::object{
      { "address", mOptions.mAddress.Text() },
      { "born", mBorn },
      { "info",
        json::object{ { "service", mOptions.mService },
                      { "version", "v1" },
                      { "zone", mOptions.mZone },
                      { "slots", mOptions.mSlots } } },
      { "status",
        json::object{ { "state", aIsDraining ? "draining" : "ready" },
                      { "sequence", ++mSequence },
                      { "cold_remaining", std::to_string(cold) + "ms" } } } });
  }

  void Beat()
  {
    const std::lock_guard lock(mBeatMutex);
    BeatLocked();
  }

  std::int64_t NextBeatMs() const { return mNextBeat; }

  /// The store does not carry out the next regular report, which is returned.
  std::string LoseNextBeat()
  {
    const std::lock_guard lock(mBeatMutex);
    mLosesBeat = true;
    return Entry(mIsDraining);
  }

  void Drain()
  {
    const std::lock_guard lock(mBeatMutex);
    mIsDraining = true;
    BeatLocked();
    Record("instance %s: the store has accepted its report 'draining'",
           mOptions.mId.c_str());
  }

  /// Exits after planned work: the entry goes, the process ends.
  void Leave()
  {
    {
      const std::lock_guard lock(mBeatMutex);
      mIsRunning = false;
      mStore.Delete("servers/" + mOptions.mId);
    }
    mServer.Stop();
    Record("instance %s has exited", mOptions.mId.c_str());
  }

  /// Ends without a word.
  void Crash()
  {
    {
      const std::lock_guard lock(mBeatMutex);
      mIsRunning = false;
    }
    mServer.Stop();
    Record("instance %s has crashed, %d requests at work",
           mOptions.mId.c_str(),
           mRunning.load());
  }

  const Options& Get() const { return mOptions; }
  int Running() const { return mRunning; }
  std::int64_t ColdUntil() const { return mColdUntil; }

  /// Called as a request begins to run.
  std::function<void(Instance&)> mOnRun;
  bool mRecordsRuns = true;

private:
  void BeatLocked()
  {
    mStore.Put("servers/" + mOptions.mId, Entry(mIsDraining));
  }

  Reply Handle(const Message& aRequest, int aFd)
  {
    const std::int64_t cold = std::max<std::int64_t>(0, mColdUntil - NowMs());
    const std::string load = std::to_string(mRunning.load()) + "," +
                             std::to_string(mWaiting.load()) + "," +
                             std::to_string(mOptions.mSlots);
    if (aRequest.Target() == "/healthz") {
      Reply reply{ .mStatus = mIsDraining ? 503 : 200,
                   .mHeaders = { { "Instance-Id", mOptions.mId },
                                 { "Instance-Load", load } } };
      if (cold > 0) {
        reply.mHeaders.emplace_back("Cold-Ms", std::to_string(cold));
      }
      return reply;
    }
    const std::string attempt = aRequest.Get("Attempt-Id");
    const std::string expected = aRequest.Get("Expect-Instance");
    if (!expected.empty() && expected != mOptions.mId) {
      return { .mStatus = 421,
               .mHeaders = { { "Instance-Id", mOptions.mId } } };
    }
    Headers headers{ { "Attempt-Id", attempt }, { "Instance-Load", load } };
    std::unique_lock lock(mSlotMutex);
    if (mRunning >= mOptions.mSlots && mWaiting >= mOptions.mQueue) {
      headers.emplace_back("Not-Executed", "1");
      return { .mStatus = 503, .mHeaders = headers };
    }
    const std::int64_t deadline =
      NowMs() + std::max(1LL, std::atoll(aRequest.Get("Deadline-Ms").c_str()));
    ++mWaiting;
    while (mRunning >= mOptions.mSlots) {
      mSlotFree.wait_for(lock, std::chrono::milliseconds(5));
      if (NowMs() >= deadline || IsPeerGone(aFd)) {
        --mWaiting;
        headers.emplace_back("Not-Executed", "1");
        return { .mStatus = 503, .mHeaders = headers };
      }
    }
    --mWaiting;
    ++mRunning;
    lock.unlock();
    std::size_t index = 0;
    {
      const std::lock_guard runsLock(RunsMutex());
      index = Runs().size();
      Runs().push_back({ NowMs(),
                         mOptions.mId,
                         attempt,
                         aRequest.Get("Tenant-Id"),
                         aRequest.Target() });
    }
    if (mRecordsRuns) {
      Record("run      %s %s %s at %s for %s",
             attempt.c_str(),
             aRequest.Method().c_str(),
             aRequest.Target().c_str(),
             mOptions.mId.c_str(),
             aRequest.Get("Tenant-Id").c_str());
    }
    if (mOnRun) {
      mOnRun(*this);
    }
    const std::int64_t end = NowMs() + mOptions.mWorkMs;
    bool isGone = false;
    while (NowMs() < end && !isGone) {
      SleepMs(
        std::min<std::int64_t>(10, std::max<std::int64_t>(1, end - NowMs())));
      isGone = IsPeerGone(aFd);
    }
    --mRunning;
    mSlotFree.notify_one();
    if (isGone) {
      return { .mDropsConnection = true };
    }
    {
      const std::lock_guard runsLock(RunsMutex());
      Runs()[index].mHasAnswered = true;
    }
    headers.emplace_back("Response-Signature", "3e1b.07." + attempt);
    return { .mStatus = 200,
             .mHeaders = headers,
             .mBody = std::string(mOptions.mAnswerBytes, 'a') };
  }

  Store& mStore;
  Options mOptions;
  Server mServer;
  std::mutex mBeatMutex;
  static constexpr std::int64_t kBeatMs = 1500;
  std::atomic<std::int64_t> mNextBeat{ 0 };
  std::atomic<bool> mLosesBeat{ false };
  std::int64_t mBorn = 0;
  std::int64_t mSequence = 0;
  std::int64_t mColdUntil = 0;
  bool mIsDraining = false;
  bool mIsRunning = false;
  std::mutex mSlotMutex;
  std::condition_variable mSlotFree;
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mWaiting{ 0 };
};

// ------------------------------------------------------------------ gateways

/// A free port on the address.
inline int FreePort(const std::string& aIp)
{
  const int fd = Listen({ aIp, 0 });
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

/// One machine of the class 'edge' with its process of the role 'gateway'.
class Machine
{
public:
  struct Options
  {
    std::string mName;
    std::string mZone;
    std::string mRegion;
    std::string mIp;
    Address mStore;
    std::map<std::string, std::string> mZones;
    std::string mFolder; ///< for settings and logs
    std::string mProgram = "target/bin/cranberrywing-gateway";
    long mMemoryMb = 260;
    std::int64_t mGraceMs = 6000;
  };

  explicit Machine(Options aOptions)
    : mOptions(std::move(aOptions))
  {
    mFront = { mOptions.mIp, FreePort(mOptions.mIp) };
    mReady = { mOptions.mIp, FreePort(mOptions.mIp) };
    mDirectory = { mOptions.mIp, FreePort(mOptions.mIp) };
    mPeers = { mOptions.mIp, FreePort(mOptions.mIp) };
    WriteSettings();
  }

  /// What the platform makes of deploy/gateway.yaml.tmpl.
  void WriteSettings()
  {
    std::ofstream file(SettingsPath());
    file << "vm: \"" << mOptions.mName << "\"\nregion: \"" << mOptions.mRegion
         << "\"\nfailure_domain: \"" << mOptions.mZone << "\"\ncallers: \""
         << mFront.Text() << "\"\nreadiness: \"" << mReady.Text()
         << "\"\nlookups: \"" << mDirectory.Text() << "\"\npeers: \""
         << mPeers.Text() << "\"\nmetrics: \"" << mOptions.mIp
         << ":9464\"\nstore: \"" << mOptions.mStore.Text()
         << "\"\nlease_ttl_min: \"1000ms\"\nregions:\n";
    for (const auto& [zone, region] : mOptions.mZones) {
      file << "  \"" << zone << "\": \"" << region << "\"\n";
    }
    file
      << "lookup_lifetime_max: \"5s\"\nstop_limit: \"6s\"\n"
         "retry_ratio: \"0.2\"\nretry_allowance: \"62\"\n"
         "retry_window: \"10s\"\ncold_overshoot: \"1.5\"\n"
         "cold_slack: \"5\"\nfile_limit: \"4100\"\nmemory_limit_mb: \"260\"\n"
         "max_shift: \"0.15\"\n";
  }

  std::string SettingsPath() const
  {
    return mOptions.mFolder + "/" + mOptions.mName + ".yaml";
  }

  void Start()
  {
    const std::string settings = SettingsPath();
    const std::string log = mOptions.mFolder + "/" + mOptions.mName + ".log";
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("CRANBERRYWING_BOOT", settings.c_str(), 1);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(mOptions.mProgram.c_str(), mOptions.mProgram.c_str(), nullptr);
      _exit(127);
    }
    mPid = child;
  }

  /// The platform ends a process whose memory exceeds memory_mb.
  long MemoryMb() const
  {
    std::ifstream file("/proc/" + std::to_string(mPid.load()) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE) / (1024 * 1024);
  }

  void Signal(int aSignal)
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }

  /// Waits until the process has ended; false if it still runs.
  bool WaitEnd(std::int64_t aTimeoutMs)
  {
    const std::int64_t end = NowMs() + aTimeoutMs;
    while (mPid > 0) {
      int status = 0;
      if (waitpid(mPid, &status, WNOHANG) == mPid) {
        mEndStatus = status;
        mPid = 0;
        return true;
      }
      if (NowMs() >= end) {
        return false;
      }
      SleepMs(5);
    }
    return true;
  }

  bool IsReady() const
  {
    const int fd = Connect(mReady, 500);
    if (fd < 0) {
      return false;
    }
    SendAll(fd,
            Serialize("GET /cranberrywing/readyz HTTP/1.1",
                      { { "Host", "x" }, { "Connection", "close" } },
                      ""));
    Message answer;
    const bool isReady =
      Reader(fd).Read(answer, 1000) == ReadEnd::Whole && answer.Status() == 200;
    close(fd);
    return isReady;
  }

  const Options& Get() const { return mOptions; }
  Address mFront;
  Address mReady;
  Address mDirectory;
  Address mPeers;
  std::atomic<pid_t> mPid{ 0 };
  int mEndStatus = 0;

private:
  Options mOptions;
};

// ------------------------------------------------------------------- clients

/// Asks a directory where to connect (PROTOCOL.md, Ingress).
inline std::vector<Address> Resolve(const Address& aDirectory,
                                    const std::string& aRegion,
                                    const std::string& aZone)
{
  const int fd = Connect(aDirectory, 1000);
  if (fd < 0) {
    return {};
  }
  SendAll(fd,
          Serialize("GET /cranberrywing/resolve?name=ficu95.example&region=" +
                      aRegion + "&zone=" + aZone + " HTTP/1.1",
                    { { "Host", "x" }, { "Connection", "close" } },
                    ""));
  Message answer;
  std::vector<Address> addresses;
  if (Reader(fd).Read(answer, 1000) == ReadEnd::Whole &&
      answer.Status() == 200) {
    const json::object body = json::parse(answer.mBody).as_object();
    for (const json::value& each : body.at("addresses").as_array()) {
      const std::string text(each.as_string());
      const auto colon = text.find(':');
      addresses.push_back(
        { text.substr(0, colon), std::atoi(text.c_str() + colon + 1) });
    }
  }
  close(fd);
  return addresses;
}

inline std::string NewAttemptId()
{
  static std::atomic<unsigned> next{ 1 };
  char text[32];
  std::snprintf(text, sizeof(text), "9c41d07be2%06x", next++);
  return text;
}

struct Outcome
{
  std::string mAttempt;
  std::int64_t mSentMs = 0;
  std::int64_t mEndMs = 0;
  int mStatus = 0;       ///< 0: no whole answer
  bool mWasSent = false; ///< the whole request was written
  ReadEnd mEnd = ReadEnd::Whole;
};

/// A client that keeps its connection open for many requests.
class Client
{
public:
  explicit Client(Address aFront)
    : mFront(std::move(aFront))
  {
  }
  ~Client() { Close(); }

  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }

  Outcome Send(const std::string& aMethod,
               const std::string& aTarget,
               const std::string& aKey,
               int aDeadlineMs,
               const std::string& aBody = "")
  {
    Outcome outcome;
    outcome.mAttempt = NewAttemptId();
    outcome.mSentMs = NowMs();
    if (mFd < 0 || IsPeerGone(mFd)) {
      Close();
      mFd = Connect(mFront, 1000);
      mReader = std::make_unique<Reader>(mFd);
    }
    if (mFd < 0) {
      outcome.mEndMs = NowMs();
      outcome.mEnd = ReadEnd::Closed;
      return outcome;
    }
    Headers headers{ { "Host", "ficu95.example" },
                     { "Attempt-Id", outcome.mAttempt },
                     { "Deadline-Ms", std::to_string(aDeadlineMs) } };
    if (!aKey.empty()) {
      headers.emplace_back("Authorization", "Bearer " + aKey);
    }
    outcome.mWasSent = SendAll(
      mFd, Serialize(aMethod + " " + aTarget + " HTTP/1.1", headers, aBody));
    Message answer;
    outcome.mEnd = mReader->Read(answer, aDeadlineMs);
    outcome.mEndMs = NowMs();
    if (outcome.mEnd == ReadEnd::Whole) {
      outcome.mStatus = answer.Status();
    }
    if (outcome.mEnd != ReadEnd::Whole ||
        Lower(answer.Get("Connection")) == "close") {
      Close();
    }
    return outcome;
  }

private:
  Address mFront;
  int mFd = -1;
  std::unique_ptr<Reader> mReader;
};

// ---------------------------------------------------------------- deployment

/// The folder for the settings and logs of this run.
inline std::string MakeFolder()
{
  char name[] = "/tmp/cranberrywing-review-XXXXXX";
  return mkdtemp(name);
}

/// An address of the loopback network that no other run uses.
inline std::string LoopbackIp(int aNumber)
{
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / 200 % 200) + "." +
         std::to_string(1 + pid % 200) + "." + std::to_string(aNumber);
}

inline std::vector<std::shared_ptr<Machine>>& Machines()
{
  static std::vector<std::shared_ptr<Machine>> machines;
  return machines;
}

/// Ends all processes and exits: 0 the rule held, 1 broken, 2 could not run.
[[noreturn]] inline void Finish(int aCode, const std::string& aFolder)
{
  for (const auto& machine : Machines()) {
    const pid_t pid = machine->mPid;
    if (pid > 0) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  if (!std::getenv("KEEP")) {
    const std::string command = "rm -rf '" + aFolder + "'";
    if (std::system(command.c_str()) != 0) {
      Record("the folder %s is left", aFolder.c_str());
    }
  }
  Record("exit %d", aCode);
  std::fflush(nullptr);
  _exit(aCode);
}

inline bool IsTrouble()
{
  const char* const text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

inline const std::map<std::string, std::string>& Zones()
{
  static const std::map<std::string, std::string> zones{
    { "accra-osu", "accra" },       { "accra-tema", "accra" },
    { "kumasi-adum", "kumasi" },    { "kumasi-suame", "kumasi" },
    { "tamale-central", "tamale" }, { "tamale-lamashegu", "tamale" },
  };
  return zones;
}

} // namespace rig
