/// \file
/// Requests and answers as the core passes them on: opaque, immutable and
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

/// A caller's request as it goes to a backend server. The driver removes
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

/// A backend server's whole answer.
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

/// Whether the request ran on a backend server, as far as is known.
enum class Execution : std::uint8_t
{
  /// No byte of the request reached a backend server, and none will.
  NotRun,
  Completed,
  Unknown,
  /// This request did not run. Whether an earlier request with the same
  /// idempotency key or ticket ran is not known to the VM that refused it.
  NotAttempted,
};

/// Name in snake_case, as in problem+json answers. Thread-safe.
std::string_view ToString(Execution aExecution);

/// An answer of the system itself in place of a backend server's.
struct Refusal
{
  ResultCode mCode = ResultCode::Internal;
  Execution mExecution = Execution::NotRun;
  std::string mDetail;
  /// Zero if the caller should not repeat the request.
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
