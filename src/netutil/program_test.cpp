#include "netutil/program.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <csignal>

#include "cranberrywing/types.h"

using namespace cranberrywing;
using namespace cranberrywing::netutil;

namespace {

/// Raises a signal after a time.
class Raise
{
public:
  Raise(boost::asio::io_context& aContext, Milliseconds aTime, int aSignal)
    : mTimer(aContext, aTime)
  {
    mTimer.async_wait([aSignal](boost::system::error_code aError) {
      if (!aError) {
        std::raise(aSignal);
      }
    });
  }

private:
  boost::asio::steady_timer mTimer;
};

/// Runs until a stop that takes 200 ms has ended, with SIGTERM at the start and
/// another signal during the stop. Returns whether the stop ended by itself.
bool EndsStop(int aSecondSignal)
{
  boost::asio::io_context context(1);
  const Raise first(context, Milliseconds(10), SIGTERM);
  const Raise second(context, Milliseconds(60), aSecondSignal);
  boost::asio::steady_timer end(context);
  bool isEnded = false;
  RunUntilStopped(context, [&] {
    end.expires_after(Milliseconds(200));
    end.async_wait([&](boost::system::error_code) {
      isEnded = true;
      context.stop();
    });
  });
  return isEnded;
}

} // namespace

// Guards against the failure LOST: a planned stop that is asked for twice ends
// at once, with answers that are finished but not sent.
TEST_CASE("a second SIGTERM does not cut a planned stop short")
{
  CHECK(EndsStop(SIGTERM));
  CHECK_FALSE(EndsStop(SIGINT));
}
