/// \file
/// Numbered result codes and the error type that carries them. The table in
/// docs/result-codes.md lists every code with its HTTP status and exit code.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cranberrywing {

/// The numbers are part of the administration API and never change their
/// meaning.
enum class ResultCode : std::uint16_t
{
  Ok = 0,
  // 100-199: bad input.
  InvalidArgument = 100,
  InvalidSettings = 101,
  UnknownNode = 102,
  UnknownRoute = 103,
  IdempotencyKeyRequired = 104,
  IdempotencyKeyReused = 105,
  ConflictingIdentities = 106,
  InvalidTicket = 107,
  RequestTooLarge = 108,
  // 200-299: permission.
  KeyMissing = 200,
  KeyUnknown = 201,
  KeyWithdrawn = 202,
  OperatorForbidden = 203,
  OperatorUnknown = 204,
  // 300-399: limits and load.
  RateExceeded = 300,
  Overloaded = 301,
  DeadlineTooShort = 302,
  RequestBlocked = 303,
  // 400-499: availability.
  NoBackend = 400,
  StoreUnavailable = 401,
  Isolated = 402,
  ShuttingDown = 403,
  NotOwner = 404,
  BackendFailed = 405,
  DeadlineExceeded = 406,
  NoConfiguration = 407,
  PeerUnreachable = 408,
  // 500-599: outcomes of writes.
  RevisionConflict = 500,
  OutcomeUnknown = 501,
  NotAccepted = 502,
  // 900-999: defects.
  Internal = 900,
  Malformed = 901,
};

/// Returns the name of a code in snake_case, as used in logs and the API.
/// Thread-safe.
std::string_view ToString(ResultCode aCode);

/// Returns the HTTP status with which the code is reported to callers.
/// Thread-safe.
unsigned HttpStatus(ResultCode aCode);

/// Returns the exit status of the command-line tool for the code: 0 for Ok,
/// otherwise 2 to 10 depending on the group. Thread-safe.
int ExitStatus(ResultCode aCode);

struct Error
{
  ResultCode mCode = ResultCode::Internal;
  /// What is wrong and where. Never contains a caller's key.
  std::string mMessage;

  bool operator==(const Error&) const = default;
};

template<class Value>
using Result = tl::expected<Value, Error>;

inline tl::unexpected<Error> MakeError(ResultCode aCode, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aMessage) });
}

} // namespace cranberrywing
