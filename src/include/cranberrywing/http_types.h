/// \file
/// HTTP requests and answers as the core forwards them: opaque, immutable and
/// shared, so that the core never copies a body.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

struct Header
{
  std::string mName;
  std::string mValue;

  bool operator==(const Header&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mValue);
  }
};

/// A caller's request as it is sent to a backend server. The driver removes
/// Authorization, the ticket and hop-by-hop headers before it builds one, so
/// that no key can reach a backend server.
struct RequestContent
{
  std::string mMethod;
  std::string mTarget;
  std::vector<Header> mHeaders;
  std::string mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMethod, mTarget, mHeaders, mBody);
  }
};

/// A backend server's complete answer.
struct AnswerContent
{
  std::uint32_t mStatus = 0;
  std::vector<Header> mHeaders;
  std::string mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStatus, mHeaders, mBody);
  }
};

using RequestContentPtr = std::shared_ptr<const RequestContent>;
using AnswerContentPtr = std::shared_ptr<const AnswerContent>;

/// What is known about whether the request ran on a backend server.
enum class Execution : std::uint8_t
{
  /// No byte of the request reached a backend server, and none will.
  NotRun,
  Completed,
  Unknown,
  /// This request did not run. The VM that refused it does not know whether an
  /// earlier request with the same idempotency key or ticket ran.
  NotAttempted,
};

/// Returns the name in snake_case, as used in problem+json answers.
/// Thread-safe.
std::string_view ToString(Execution aExecution);

/// An error that the system itself returns instead of a backend server's
/// answer.
struct Refusal
{
  ResultCode mCode = ResultCode::Internal;
  Execution mExecution = Execution::NotRun;
  std::string mDetail;
  /// Value of Retry-After; zero if the caller should not repeat the request.
  Duration mRetryAfter{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    std::int64_t retryAfter = mRetryAfter.count();
    aArchive(mCode, mExecution, mDetail, retryAfter);
    mRetryAfter = Duration(retryAfter);
  }
};

} // namespace cranberrywing
