#include "standins/backend/backend_state.h"

#include <array>
#include <boost/json/array.hpp>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

#include "netutil/headers.h"

namespace cranberrywing::standins {

namespace json = boost::json;

namespace {

struct IntegerField
{
  std::string_view mName;
  std::int64_t BackendBehaviour::*mField;
};

constexpr std::array kIntegerFields{
  IntegerField{ "latency_ms", &BackendBehaviour::mLatencyMs },
  IntegerField{ "concurrency", &BackendBehaviour::mConcurrency },
  IntegerField{ "shed_above", &BackendBehaviour::mShedThreshold },
  IntegerField{ "cold_start_ms", &BackendBehaviour::mColdStartMs },
  IntegerField{ "body_bytes", &BackendBehaviour::mBodyBytes },
};

struct FlagField
{
  std::string_view mName;
  bool BackendBehaviour::*mField;
};

constexpr std::array kFlagFields{
  FlagField{ "draining", &BackendBehaviour::mDraining },
  FlagField{ "shedding", &BackendBehaviour::mShedding },
  FlagField{ "hangs", &BackendBehaviour::mNeverAnswers },
};

struct DoubleField
{
  std::string_view mName;
  double BackendBehaviour::*mField;
};

constexpr std::array kDoubleFields{
  DoubleField{ "cold_factor", &BackendBehaviour::mColdFactor },
  DoubleField{ "capacity", &BackendBehaviour::mCapacity },
};

bool SetOverride(BackendBehaviour& aBehaviour,
                 std::string_view aName,
                 const json::value& aValue)
{
  if (aName == "claimed_health") {
    aBehaviour.mHealthOverride.reset();
    if (aValue.is_bool()) {
      aBehaviour.mHealthOverride = aValue.get_bool();
    }
    return aValue.is_bool() || aValue.is_null();
  }
  if (aName == "claimed_utilization") {
    aBehaviour.mUtilizationOverride.reset();
    if (aValue.is_number()) {
      aBehaviour.mUtilizationOverride = aValue.to_number<double>();
    }
    return aValue.is_number() || aValue.is_null();
  }
  return false;
}

bool SetField(BackendBehaviour& aBehaviour,
              std::string_view aName,
              const json::value& aValue)
{
  for (const IntegerField& field : kIntegerFields) {
    if (field.mName == aName && aValue.is_int64() && aValue.get_int64() >= 0) {
      aBehaviour.*field.mField = aValue.get_int64();
      return true;
    }
  }
  for (const FlagField& field : kFlagFields) {
    if (field.mName == aName && aValue.is_bool()) {
      aBehaviour.*field.mField = aValue.get_bool();
      return true;
    }
  }
  for (const DoubleField& field : kDoubleFields) {
    if (field.mName == aName && aValue.is_number()) {
      aBehaviour.*field.mField = aValue.to_number<double>();
      return true;
    }
  }
  return SetOverride(aBehaviour, aName, aValue);
}

} // namespace

Result<BackendBehaviour> ApplyBehaviour(const BackendBehaviour& aBehaviour,
                                        const json::object& aBody)
{
  BackendBehaviour behaviour = aBehaviour;
  for (const auto& member : aBody) {
    const std::string_view name(member.key().data(), member.key().size());
    if (!SetField(behaviour, name, member.value())) {
      return MakeError(ResultCode::InvalidArgument,
                       "unknown behaviour or invalid value: " +
                         std::string(name));
    }
  }
  return behaviour;
}

Result<void> ExecutionLog::Open(const std::string& aPath)
{
  if (aPath.empty()) {
    return {};
  }
  mFile =
    ::open(aPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (mFile < 0) {
    return MakeError(ResultCode::InvalidArgument,
                     "cannot open " + aPath + ": " + std::strerror(errno));
  }
  return {};
}

std::int64_t ExecutionLog::Record(const std::string& aIdentity)
{
  ++mTotal;
  if (mFile >= 0) {
    const std::string line = aIdentity + "\n";
    if (::write(mFile, line.data(), line.size()) < 0) {
      // The count in memory is still right, but a test that reads the file
      // would miss an execution; so abort.
      std::abort();
    }
  }
  return ++mCounts[aIdentity];
}

json::object ExecutionLog::Encode() const
{
  json::array executions;
  for (const auto& [identity, count] : mCounts) {
    json::object one;
    one["id"] = identity;
    one["count"] = count;
    executions.push_back(std::move(one));
  }
  json::object body;
  body["total"] = mTotal;
  body["executions"] = std::move(executions);
  return body;
}

std::string ExecutionLog::IdentityOf(const RequestContent& aRequest)
{
  const std::string* key =
    netutil::FindHeader(aRequest.mHeaders, "Idempotency-Key");
  return key ? *key : aRequest.mBody;
}

} // namespace cranberrywing::standins
