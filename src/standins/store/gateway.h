/// \file
/// etcd v3's JSON gateway over KeyValueState: requests from JSON, answers to
/// JSON. Bytes are in base64, 64-bit integers are strings.
#pragma once

#include <boost/json/object.hpp>
#include <string_view>

#include "cranberrywing/http_types.h"
#include "standins/store/key_value_state.h"

namespace cranberrywing::standins {

/// Kind of a call, for counting and for faults.
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

/// Kind by path and, for a transaction, whether it can change anything.
struct CallClass
{
  CallKind mKind = CallKind::Unknown;
  bool mIsWrite = false;
};

struct WatchRequest
{
  KeyRange mRange;
  std::int64_t mStartRevision = 0;
  bool mProgressNotify = false;
};

/// Not thread-safe.
class Gateway
{
public:
  explicit Gateway(KeyValueState& aState);

  static CallClass Classify(const RequestContent& aRequest);
  /// Answers any call but a watch.
  AnswerContentPtr Call(const RequestContent& aRequest, StoreTime aNow);

  /// Errors: Malformed.
  static Result<WatchRequest> ParseWatch(std::string_view aBody);
  std::string EncodeCreated() const;
  std::string EncodeProgress() const;
  std::string EncodeChanges(const std::vector<Change>& aChanges) const;
  /// Tells that the start revision is no longer in the log.
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

/// An error as the gateway reports it, with gRPC's status code.
AnswerContentPtr GatewayError(const Error& aError);

} // namespace cranberrywing::standins
