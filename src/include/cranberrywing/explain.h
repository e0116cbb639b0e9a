/// \file
/// Explains how a request or a lookup is decided: the rules in evaluation
/// order, each with its inputs, the settings that it uses, the policy node that
/// set each of them, and its result.
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
  /// Code with which the request would be refused, or Ok if it would be
  /// admitted.
  ResultCode mCode = ResultCode::Ok;
};

/// The properties of a request that its decision depends on. The client account
/// takes the place of a key, so no key is needed.
struct RequestDescription
{
  std::string mMethod = "GET";
  std::string mTarget;
  /// Empty for a request without a key.
  AccountId mAccount;
  std::string mIdempotencyKey;
  std::uint64_t mBodyBytes = 0;
};

/// Explains how this VM would decide the request at the given time. The steps
/// end at the first one that refuses. Blocks by the crash guard and tickets are
/// not covered, since they depend on the whole request; nor is the backend
/// server, which is chosen at random. Does not modify the reducer; must run on
/// the reducer's thread.
Explanation ExplainRequest(const Reducer& aReducer,
                           const RequestDescription& aRequest,
                           TimePoint aNow);

/// Explains how this VM would answer the lookup at the given time. Does not
/// modify the reducer; must run on the reducer's thread.
Explanation ExplainLookup(const Reducer& aReducer,
                          const event::LookupArrived& aLookup,
                          TimePoint aNow);

} // namespace cranberrywing
