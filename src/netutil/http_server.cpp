#include "netutil/http_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "netutil/acceptor.h"
#include "netutil/http_session.h"

namespace cranberrywing::netutil {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Milliseconds kSweepInterval{ 100 };
/// Delay before accepting again after an error, which mostly means that no file
/// descriptor is available.
constexpr Milliseconds kAcceptRetryDelay{ 100 };
/// Bodies up to this size do not wait for larger ones.
constexpr std::size_t kSmallBodyBytes = 64 * 1024;
/// Part of the memory for bodies that only small ones may use: 1 / this.
constexpr std::size_t kSmallBodyDivisor = 16;

} // namespace

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpServerOptions aOptions,
                       HttpServerHooks aHooks)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mAcceptor(aContext)
  , mSweepTimer(aContext)
  , mAcceptTimer(aContext)
  , mNow(std::chrono::steady_clock::now())
  , mHeld(mOptions.mMaxHeldBytes)
{
  Sweep();
}

HttpServer::~HttpServer()
{
  for (auto& [id, session] : mSessions) {
    session->Detach();
  }
}

Result<void> HttpServer::Listen(const Endpoint& aEndpoint)
{
  const auto listening = ListenOn(mAcceptor, aEndpoint);
  if (!listening) {
    return listening;
  }
  Accept();
  return {};
}

std::uint16_t HttpServer::Port() const
{
  boost::system::error_code ec;
  return mAcceptor.local_endpoint(ec).port();
}

void HttpServer::StopAccepting()
{
  boost::system::error_code ec;
  mAcceptor.close(ec);
}

void HttpServer::Accept()
{
  mAcceptor.async_accept(
    [this](boost::system::error_code aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        RetryAcceptLater();
        return;
      }
      OnAccepted(std::move(aSocket));
    });
}

void HttpServer::OnAccepted(tcp::socket aSocket)
{
  boost::system::error_code ec;
  aSocket.set_option(tcp::no_delay(true), ec);
  const ConnectionId id{ mNextConnection++ };
  const auto session =
    std::make_shared<HttpSession>(*this, std::move(aSocket), id);
  mSessions.emplace(id, session);
  session->Start();
  if (mSessions.size() >= mOptions.mMaxConnections) {
    mIsAcceptPaused = true;
    return;
  }
  Accept();
}

void HttpServer::RetryAcceptLater()
{
  mAcceptTimer.expires_after(kAcceptRetryDelay);
  mAcceptTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError && mAcceptor.is_open()) {
      Accept();
    }
  });
}

void HttpServer::Sweep()
{
  mNow = std::chrono::steady_clock::now();
  mRunningTime += kSweepInterval;
  for (const SessionPtr& session : AllSessions()) {
    session->NoteProgress();
    session->CheckTimeouts();
  }
  CloseSlowClients();
  ResumeReading();
  mSweepTimer.expires_after(kSweepInterval);
  mSweepTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Sweep();
    }
  });
}

void HttpServer::SetHeld(ConnectionId aConnection, const HeldOutput& aHeld)
{
  const bool wasExceeded = mHeld.IsExceeded();
  mHeld.Set(aConnection, aHeld, mRunningTime);
  if (wasExceeded && !mHeld.IsExceeded()) {
    ResumeReading();
  }
}

void HttpServer::ResumeReading()
{
  for (const ConnectionId id : mHeld.TakeResumable()) {
    // The caller may be processing this or another session's requests.
    if (const SessionPtr session = Find(id)) {
      asio::post(mContext, [session] { session->ResumeReading(); });
    }
  }
}

void HttpServer::CloseSlowClients()
{
  while (const auto stalled = mHeld.FindStalled(mRunningTime)) {
    const SessionPtr session = Find(stalled->mConnection);
    ++mSlowClientsClosed;
    session->Abort();
    if (mHooks.mOnSlowClientClosed) {
      mHooks.mOnSlowClientClosed(
        { .mAddress = session->RemoteAddress(),
          .mBytes = stalled->mBytes,
          .mWithoutProgress = stalled->mWithoutProgress });
    }
  }
}

void HttpServer::OnSessionClosed(ConnectionId aConnection)
{
  SetHeld(aConnection, {});
  mHeld.Remove(aConnection);
  mSessions.erase(aConnection);
  if (mIsAcceptPaused && mAcceptor.is_open()) {
    mIsAcceptPaused = false;
    Accept();
  }
}

bool HttpServer::IsBodyPossible(std::size_t aBytes) const
{
  const std::size_t max = mOptions.mMaxBodyMemory;
  return aBytes <= max - max / kSmallBodyDivisor;
}

bool HttpServer::TryReserveBody(ConnectionId aConnection,
                                std::size_t aBytes,
                                bool aHoldsSome)
{
  const bool isSmall = aBytes <= kSmallBodyBytes;
  const std::size_t max = mOptions.mMaxBodyMemory;
  const std::size_t limit = isSmall ? max : max - max / kSmallBodyDivisor;
  const bool isNext = aHoldsSome || mAwaitingMemory.empty() ||
                      mAwaitingMemory.front() == aConnection;
  if ((!isSmall && !isNext) || mBodyBytes > limit ||
      aBytes > limit - mBodyBytes) {
    return false;
  }
  mBodyBytes += aBytes;
  return true;
}

void HttpServer::ReleaseBody(std::size_t aBytes)
{
  if (aBytes == 0) {
    return;
  }
  mBodyBytes -= aBytes;
  while (!mAwaitingMemory.empty()) {
    const SessionPtr session = Find(mAwaitingMemory.front());
    if (session && !session->TryReserveAwaited()) {
      return;
    }
    mAwaitingMemory.pop_front();
    if (session) {
      session->ResumeBody();
    }
  }
}

void HttpServer::AwaitBodyMemory(ConnectionId aConnection, bool aHoldsSome)
{
  if (aHoldsSome) {
    mAwaitingMemory.push_front(aConnection);
  } else {
    mAwaitingMemory.push_back(aConnection);
  }
}

void HttpServer::StopAwaitingMemory(ConnectionId aConnection)
{
  std::erase(mAwaitingMemory, aConnection);
}

HttpServer::SessionPtr HttpServer::Find(ConnectionId aConnection) const
{
  const auto it = mSessions.find(aConnection);
  return it == mSessions.end() ? nullptr : it->second;
}

void HttpServer::Answer(const ExchangeId& aExchange,
                        AnswerContentPtr aResponse,
                        const ResponseOptions& aOptions)
{
  if (const SessionPtr session = Find(aExchange.mConnection)) {
    session->Answer(aExchange.mNumber, std::move(aResponse), aOptions);
  }
}

void HttpServer::StartStream(const ExchangeId& aExchange,
                             const AnswerContent& aHead)
{
  if (const SessionPtr session = Find(aExchange.mConnection)) {
    session->StartStream(aExchange.mNumber, aHead);
  }
}

void HttpServer::WriteChunk(const ExchangeId& aExchange,
                            std::string_view aBytes)
{
  if (const SessionPtr session = Find(aExchange.mConnection)) {
    session->WriteChunk(aExchange.mNumber, aBytes);
  }
}

void HttpServer::EndStream(const ExchangeId& aExchange)
{
  if (const SessionPtr session = Find(aExchange.mConnection)) {
    session->EndStream(aExchange.mNumber);
  }
}

void HttpServer::Abort(ConnectionId aConnection)
{
  if (const SessionPtr session = Find(aConnection)) {
    session->Abort();
  }
}

void HttpServer::AbortAll()
{
  for (const SessionPtr& session : AllSessions()) {
    session->Abort();
  }
}

void HttpServer::CloseAllAfterResponses()
{
  for (const SessionPtr& session : AllSessions()) {
    session->CloseAfterResponses();
  }
}

std::vector<HttpServer::SessionPtr> HttpServer::AllSessions() const
{
  // Closing a session removes it from the map, so callers iterate over a copy.
  std::vector<SessionPtr> sessions;
  sessions.reserve(mSessions.size());
  for (const auto& [id, session] : mSessions) {
    sessions.push_back(session);
  }
  return sessions;
}

std::string HttpServer::RemoteAddress(ConnectionId aConnection) const
{
  const SessionPtr session = Find(aConnection);
  return session ? session->RemoteAddress() : std::string();
}

} // namespace cranberrywing::netutil
