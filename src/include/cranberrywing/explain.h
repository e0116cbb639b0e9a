/// \file
/// Why a request or a lookup is decided as it is: the rules in the order of
/// their use, with their inputs, the settings that they use, the node that set
/// each of these, and their results.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/reducer.h"
#include "cranberrywing/settings.h"

namespace cranberrywing {

struct ExplainInput
{
  std::string mName;
  std::string mValue;
};

struct ExplainStep
{
  std::string mRule;
  std::vector<ExplainInput> mInputs;
  /// mNode is the path of the node that set the value, or "default".
  std::vector<PolicySource> mSettings;
  std::string mResult;
};

struct Explanation
{
  Revision mRevision;
  std::vector<ExplainStep> mSteps;
  /// Code with which the request would be refused, or Ok.
  ResultCode mCode = ResultCode::Ok;
};

/// A request as far as its decision depends on it. No key is needed: the
/// client account stands for it.
struct RequestDescription
{
  std::string mMethod = "GET";
  std::string mTarget;
  /// Empty for a request without a key.
  AccountId mAccount;
  std::string mIdempotencyKey;
  std::uint64_t mBodyBytes = 0;
};

/// How this VM would decide the request at this moment. Steps end at the first
/// one that refuses. Not told: blocks by the crash guard and tickets, which
/// depend on the whole request, and the server itself, which is drawn at
/// random. Reads the reducer only, so it must run on its thread.
Explanation ExplainRequest(const Reducer& aReducer,
                           const RequestDescription& aQuestion,
                           TimePoint aNow);

/// How this VM would answer the lookup at this moment. Reads the reducer only,
/// so it must run on its thread.
Explanation ExplainLookup(const Reducer& aReducer,
                          const event::LookupArrived& aLookup,
                          TimePoint aNow);

} // namespace cranberrywing
