#include "standins/store/faults.h"

#include <array>
#include <string>

namespace cranberrywing::standins {

namespace json = boost::json;

namespace {

struct OutageName
{
  Outage mOutage;
  std::string_view mName;
};

constexpr std::array kOutageNames{
  OutageName{ Outage::None, "none" },
  OutageName{ Outage::Refuse, "refuse" },
  OutageName{ Outage::Silent, "silent" },
  OutageName{ Outage::Error, "error" },
};

bool SetOutage(Faults& aFaults, const json::value& aValue)
{
  const json::string* text = aValue.if_string();
  for (const OutageName& name : kOutageNames) {
    if (text && std::string_view(*text) == name.mName) {
      aFaults.mOutage = name.mOutage;
      return true;
    }
  }
  return false;
}

bool SetNonNegative(std::int64_t& aTarget, const json::value& aValue)
{
  const std::int64_t* number = aValue.if_int64();
  if (!number || *number < 0) {
    return false;
  }
  aTarget = *number;
  return true;
}

bool SetFault(Faults& aFaults,
              std::string_view aName,
              const json::value& aValue)
{
  if (aName == "outage") {
    return SetOutage(aFaults, aValue);
  }
  if (aName == "delay_ms") {
    return SetNonNegative(aFaults.mDelayMs, aValue);
  }
  if (aName == "answer_delay_ms") {
    return SetNonNegative(aFaults.mAnswerDelayMs, aValue);
  }
  if (aName == "lose_answers") {
    return SetNonNegative(aFaults.mAnswersToDrop, aValue);
  }
  if (aName == "stale_watch" && aValue.is_bool()) {
    aFaults.mStaleWatch = aValue.get_bool();
    return true;
  }
  return false;
}

} // namespace

Result<Faults> ApplyFaults(const Faults& aFaults, const json::object& aBody)
{
  Faults faults = aFaults;
  for (const auto& member : aBody) {
    const std::string_view name(member.key().data(), member.key().size());
    if (!SetFault(faults, name, member.value())) {
      return MakeError(ResultCode::InvalidArgument,
                       "unknown fault or invalid value: " + std::string(name));
    }
  }
  return faults;
}

json::object EncodeFaults(const Faults& aFaults)
{
  json::object body;
  for (const OutageName& name : kOutageNames) {
    if (name.mOutage == aFaults.mOutage) {
      body["outage"] = std::string(name.mName);
    }
  }
  body["delay_ms"] = aFaults.mDelayMs;
  body["answer_delay_ms"] = aFaults.mAnswerDelayMs;
  body["lose_answers"] = aFaults.mAnswersToDrop;
  body["stale_watch"] = aFaults.mStaleWatch;
  return body;
}

} // namespace cranberrywing::standins
