/// \file
/// Bounds the memory of responses that clients have not received yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cranberrywing/types.h"
#include "netutil/connection_id.h"

namespace cranberrywing::netutil {

/// Bytes that a server holds for the client of one connection.
struct HeldOutput
{
  /// Bodies of responses that wait for earlier ones.
  std::size_t mWaiting = 0;
  /// Serialized output that the system has not accepted yet.
  std::size_t mUnsent = 0;

  std::size_t Total() const { return mWaiting + mUnsent; }
};

/// A connection whose client does not take its output.
struct StalledConnection
{
  ConnectionId mConnection{};
  std::size_t mBytes = 0;
  Duration mWithoutProgress{};
};

/// Accounts for the output held for all connections of a server, and decides
/// which of them read no further requests or are closed while it exceeds a
/// limit.
///
/// Times are durations since a fixed point, which must not decrease. Not
/// thread-safe.
class OutputBudget
{
public:
  /// aMaxBytes: the limit; 0 for none.
  explicit OutputBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// Sets what is held for a connection.
  void Set(ConnectionId aConnection, const HeldOutput& aHeld, Duration aNow);
  /// The connection's client has taken bytes.
  void NoteProgress(ConnectionId aConnection, Duration aNow);
  /// Releases all that is held for a connection that has ended.
  void Remove(ConnectionId aConnection);

  /// Whether a connection may read a request. Not if the limit is exceeded and
  /// the connection holds more than the limit divided by the number of
  /// connections that hold anything. It is then paused until TakeResumable
  /// returns it, or a further call returns true.
  bool TryRead(ConnectionId aConnection);
  /// Returns the paused connections that may read again, and ends their pause.
  std::vector<ConnectionId> TakeResumable();
  /// Returns the connection to be closed: if the limit is exceeded by a
  /// quarter, the one that holds the most of those with unsent output whose
  /// clients have taken nothing for more than a second. Output that only waits
  /// for an earlier response does not count as unsent, since its client cannot
  /// take it.
  std::optional<StalledConnection> FindStalled(Duration aNow) const;

  bool HasLimit() const { return mMaxBytes > 0; }
  bool IsExceeded() const { return HasLimit() && mBytes > mMaxBytes; }
  std::size_t Bytes() const { return mBytes; }
  /// Number of times that a connection was paused.
  std::uint64_t Pauses() const { return mPauses; }

private:
  struct Holding
  {
    HeldOutput mHeld;
    /// Last time that the client took bytes, or else the time since when there
    /// is unsent output.
    Duration mProgress{};
  };

  bool MayRead(ConnectionId aConnection) const;

  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  std::uint64_t mPauses = 0;
  /// Connections that hold anything.
  std::unordered_map<ConnectionId, Holding> mHoldings;
  std::unordered_set<ConnectionId> mPaused;
};

} // namespace cranberrywing::netutil
