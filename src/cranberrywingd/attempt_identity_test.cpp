/// \file
/// By what the daemon tells the answers of a backend server to several sends of
/// one request, through real sockets.
#include <catch2/catch.hpp>

#include "cranberrywingd/backend_client.h"
#include "netutil/loopback_for_tests.h"
#include "netutil/scripted_server_for_tests.h"

using namespace cranberrywing;
using namespace cranberrywing::daemon;

namespace {

std::string Answer(const std::string& aHead,
                   const std::string& aAttempt,
                   const std::string& aBody)
{
  return "HTTP/1.1 " + aHead + "\r\nCranberrywing-Attempt: " + aAttempt +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

std::string Shed(const std::string& aAttempt)
{
  return Answer("503 Unavailable\r\nCranberrywing-Not-Run: 1", aAttempt, "");
}

/// A daemon's client for backend servers.
class Sender
{
public:
  explicit Sender(boost::asio::io_context& aContext)
    : mContext(aContext)
    , mClient(aContext, mMetrics, [this](Event aEvent) {
      mResult = std::move(aEvent);
    })
  {
  }

  /// Sends an attempt of request 1 and returns the event that ends it.
  Event Send(const netutil::Endpoint& aServer, AttemptNumber aAttempt)
  {
    mResult.reset();
    mClient.Execute(
      effect::Dispatch{ .mRequest = RequestId{ 1 },
                        .mAttempt = aAttempt,
                        .mBackend = BackendId("s1"),
                        .mAddress = aServer.mAddress,
                        .mPort = aServer.mPort,
                        .mContent = std::make_shared<const RequestContent>(
                          RequestContent{ .mMethod = "POST", .mTarget = "/" }),
                        .mTimeout = std::chrono::seconds(20) });
    REQUIRE(
      netutil::RunUntil(mContext, [this] { return mResult.has_value(); }));
    return *mResult;
  }

private:
  boost::asio::io_context& mContext;
  DaemonMetrics mMetrics;
  std::optional<Event> mResult;
  BackendClient mClient;
};

bool IsShed(const Event& aEvent)
{
  const auto* const failed = std::get_if<event::BackendFailed>(&aEvent);
  return failed && failed->mKind == event::FailureKind::Shed;
}

std::string BodyOf(const Event& aEvent)
{
  const auto* const responded = std::get_if<event::BackendResponded>(&aEvent);
  return responded ? responded->mAnswer->mBody : std::string();
}

} // namespace

// Guards against work that runs twice: a request that was shed is sent again on
// the same connection, and the copy of the shed answer is taken for the answer
// to the second attempt, which the server runs.
TEST_CASE("a shed answer to one attempt does not answer the next one")
{
  boost::asio::io_context context(1);
  netutil::ScriptedServer server(
    context, { Shed("1-1"), Shed("1-1") + Answer("200 OK", "1-2", "done") });
  Sender sender(context);
  CHECK(IsShed(sender.Send(server.Address(), 1)));
  CHECK(BodyOf(sender.Send(server.Address(), 2)) == "done");
}

// Guards against the same between processes: numbers begin anew with each
// process, and a copy is read on the connection of the answer that it repeats.
TEST_CASE("a shed answer to one process does not answer another one")
{
  boost::asio::io_context context(1);
  netutil::ScriptedServer server(
    context, { Shed("1-1"), Shed("1-1") + Answer("200 OK", "1-2", "done") });
  std::optional<Sender> first(context);
  CHECK(IsShed(first->Send(server.Address(), 1)));
  SECTION("a second daemon") {}
  SECTION("after a restart")
  {
    first.reset();
  }
  // The second answer of the script would be that to the second attempt.
  Sender second(context);
  CHECK(IsShed(second.Send(server.Address(), 1)));
  CHECK(BodyOf(second.Send(server.Address(), 2)) == "done");
}
