#include <cstdlib>
#include <iostream>
#include <thread>

#include "cranberrywing/context.h"
#include "netutil/http_fetch.h"

using namespace cranberrywing;

namespace {

std::string ReadEnvironment(const char* aName)
{
  const char* const value = std::getenv(aName);
  return value ? value : "";
}

} // namespace

int main(int aCount, char** aValues)
{
  const cli::Context context{
    .mOut = std::cout,
    .mError = std::cerr,
    .mTransport = &netutil::Fetch,
    .mSleep = [](Duration aTime) { std::this_thread::sleep_for(aTime); },
    .mDaemons = ReadEnvironment("CRANBERRYWING_DAEMON"),
    .mToken = ReadEnvironment("CRANBERRYWING_TOKEN"),
  };
  return cli::RunTool({ aValues + 1, aValues + aCount }, context);
}
