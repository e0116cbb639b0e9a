#include "netutil/response_budget.h"

#include <algorithm>

#include "netutil/http_client.h"

namespace cranberrywing::netutil {

void ResponseBudget::Charge(HttpClientConnection& aConnection,
                            std::size_t aBytes)
{
  std::size_t& bytes = mBytes[&aConnection];
  mUsedBytes = mUsedBytes - bytes + aBytes;
  bytes = aBytes;
  while (mUsedBytes > mMaxBytes) {
    const auto largest = std::max_element(
      mBytes.begin(), mBytes.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    // Releases its bytes.
    largest->first->shared_from_this()->Fail(
      ExchangeFailureKind::Malformed,
      "the response uses the most of the memory for responses");
  }
}

void ResponseBudget::Release(HttpClientConnection& aConnection)
{
  const auto it = mBytes.find(&aConnection);
  if (it != mBytes.end()) {
    mUsedBytes -= it->second;
    mBytes.erase(it);
  }
}

} // namespace cranberrywing::netutil
