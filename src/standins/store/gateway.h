/// \file
/// The etcd v3 JSON gateway on top of KeyValueState: decodes JSON requests,
/// applies them and encodes the answers. As in etcd, byte strings are base64
/// and 64-bit integers are JSON strings.
#pragma once

#include <boost/json/object.hpp>
#include <string_view>

#include "cranberrywing/http_types.h"
#include "standins/store/key_value_state.h"

namespace cranberrywing::standins {

/// Kind of a request, for the counters and for fault injection.
enum class CallKind : std::uint8_t
{
  Range,
  Txn,
  LeaseGrant,
  LeaseKeepAlive,
  LeaseRevoke,
  Watch,
  Unknown,
};

/// Classification of a request. A transaction is a write if it contains a put
/// or a delete.
struct CallClass
{
  CallKind mKind = CallKind::Unknown;
  bool mIsWrite = false;
};

/// Parameters of a watch.
struct WatchRequest
{
  KeyRange mRange;
  /// First revision to report; zero starts after the current revision.
  std::int64_t mStartRevision = 0;
  bool mProgressNotify = false;
};

/// Handles requests of the gateway's API. Not thread-safe.
class Gateway
{
public:
  /// aState must outlive the gateway.
  explicit Gateway(KeyValueState& aState);

  static CallClass Classify(const RequestContent& aRequest);
  /// Expires leases up to aNow, then applies and answers a request other than a
  /// watch. aNow must not decrease.
  AnswerContentPtr Call(const RequestContent& aRequest, StoreTime aNow);

  /// Reads the body of a watch request. Errors: Malformed.
  static Result<WatchRequest> ParseWatch(std::string_view aBody);
  // The messages of a watch's stream, one line of JSON each.
  std::string EncodeCreated() const;
  std::string EncodeProgress() const;
  std::string EncodeChanges(const std::vector<Change>& aChanges) const;
  /// Cancels a watch whose start revision is no longer in the log.
  std::string EncodeCompacted() const;

private:
  using Object = boost::json::object;

  Result<Object> Run(CallKind aKind, const Object& aBody, StoreTime aNow);
  Result<Object> Range(const Object& aBody);
  Result<Object> Txn(const Object& aBody);
  Result<Object> Grant(const Object& aBody, StoreTime aNow);
  Result<Object> KeepAlive(const Object& aBody, StoreTime aNow);
  Result<Object> Revoke(const Object& aBody);
  Object Header() const;

  KeyValueState& mState;
};

/// An error as the gateway reports it, with gRPC's status code. Thread-safe.
AnswerContentPtr GatewayError(const Error& aError);

} // namespace cranberrywing::standins
