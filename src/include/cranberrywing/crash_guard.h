/// \file
/// Blocks requests that end the backend servers that run them (design 3.7).
#pragma once

#include <unordered_map>
#include <vector>

#include "cranberrywing/effect.h"
#include "cranberrywing/event.h"

namespace cranberrywing {

/// Names a request by route and content. Thread-safe.
ContentDigest FingerprintRequest(const RouteId& aRoute,
                                 const RequestContent& aContent);

/// Not thread-safe; owned by the reducer.
class CrashGuard
{
public:
  struct Options
  {
    /// Distinct servers lost before a request is blocked.
    std::size_t mServersLost = 2;
    Duration mBlockTime = std::chrono::minutes(10);
    /// Time after a failure within which the server must be found dead.
    Duration mConfirmationTime = std::chrono::seconds(10);
  };

  explicit CrashGuard(Options aOptions);

  bool IsBlocked(const ContentDigest& aFingerprint, TimePoint aNow) const;
  /// A connection ended without an answer while the server ran the request.
  void OnReset(const ContentDigest& aFingerprint,
               const BackendId& aBackend,
               TimePoint aNow);
  /// The server refuses connections or fails its probe: it has died, so its
  /// recent resets count against the requests that it ran.
  void OnServerDown(const BackendId& aBackend,
                    TimePoint aNow,
                    EffectList& aOut);
  void OnMessage(const message::RequestBlock& aMessage, TimePoint aNow);
  void Tick(TimePoint aNow);
  /// Blocks made here since the last call, to be told to all peers.
  std::vector<message::RequestBlock> TakeNewBlocks();

private:
  Options mOptions;
};

} // namespace cranberrywing
