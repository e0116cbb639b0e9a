#include "netutil/http_pool.h"

namespace cranberrywing::netutil {

namespace {

constexpr std::chrono::seconds kSweepInterval{ 1 };

} // namespace

HttpClientPool::HttpClientPool(boost::asio::io_context& aContext,
                               Options aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
  , mSweepTimer(aContext)
{
  CloseExpiredConnections();
}

HttpClientPool::~HttpClientPool()
{
  *mIsAlive = false;
  for (auto& [endpoint, idle] : mIdle) {
    for (IdleConnection& entry : idle) {
      entry.mConnection->Close();
    }
  }
}

HttpClientConnectionPtr HttpClientPool::Start(const Endpoint& aEndpoint,
                                              RequestContentPtr aRequest,
                                              std::vector<Header> aExtraHeaders,
                                              Duration aTimeout,
                                              ExchangeHandler aHandler,
                                              ResponseIdentity aIdentity)
{
  HttpClientConnectionPtr connection =
    AcquireConnection(aEndpoint, *aRequest, aIdentity);
  // The connection owns the handler; a strong reference would form a cycle and
  // leak both.
  const std::weak_ptr<HttpClientConnection> weak = connection;
  connection->Start(
    std::move(aRequest),
    std::move(aExtraHeaders),
    aTimeout,
    [this, alive = mIsAlive, weak, handler = std::move(aHandler)](
      ExchangeResult aResult) {
      const HttpClientConnectionPtr self = weak.lock();
      if (*alive && self) {
        ReleaseConnection(self);
      }
      handler(std::move(aResult));
    },
    std::move(aIdentity));
  return connection;
}

HttpClientConnectionPtr HttpClientPool::AcquireConnection(
  const Endpoint& aEndpoint,
  const RequestContent& aRequest,
  const ResponseIdentity& aIdentity)
{
  std::vector<IdleConnection>& idle = mIdle[aEndpoint];
  for (std::size_t n = idle.size(); n-- > 0;) {
    if (!idle[n].mConnection->MayCarry(aRequest, aIdentity)) {
      continue;
    }
    const HttpClientConnectionPtr connection = std::move(idle[n].mConnection);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(n));
    if (connection->IsReusable()) {
      return connection;
    }
    connection->Close();
  }
  if (!idle.empty()) {
    // Otherwise requests of one identifier could occupy a server's connections.
    idle.front().mConnection->Close();
    idle.erase(idle.begin());
    ++mPassedOver;
  }
  ++mOpened;
  return std::make_shared<HttpClientConnection>(
    mContext, aEndpoint, mOptions.mClient);
}

void HttpClientPool::ReleaseConnection(
  const HttpClientConnectionPtr& aConnection)
{
  if (!aConnection->IsReusable()) {
    aConnection->Close();
    return;
  }
  std::vector<IdleConnection>& idle = mIdle[aConnection->Peer()];
  if (idle.size() >= mOptions.mMaxIdlePerServer) {
    aConnection->Close();
    return;
  }
  idle.push_back({ aConnection, std::chrono::steady_clock::now() });
}

void HttpClientPool::CloseIdle(const Endpoint& aEndpoint)
{
  const auto it = mIdle.find(aEndpoint);
  if (it == mIdle.end()) {
    return;
  }
  for (IdleConnection& entry : it->second) {
    entry.mConnection->Close();
  }
  mIdle.erase(it);
}

std::size_t HttpClientPool::IdleCount(const Endpoint& aEndpoint) const
{
  const auto it = mIdle.find(aEndpoint);
  return it == mIdle.end() ? 0 : it->second.size();
}

void HttpClientPool::CloseExpiredConnections()
{
  const auto limit = std::chrono::steady_clock::now() - mOptions.mIdleTimeout;
  for (auto& [endpoint, idle] : mIdle) {
    std::erase_if(idle, [limit](IdleConnection& aEntry) {
      if (aEntry.mIdleSince >= limit) {
        return false;
      }
      aEntry.mConnection->Close();
      return true;
    });
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  mSweepTimer.expires_after(kSweepInterval);
  mSweepTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      CloseExpiredConnections();
    }
  });
}

} // namespace cranberrywing::netutil
