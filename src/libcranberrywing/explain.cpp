#include "cranberrywing/explain.h"

#include "explain_steps.h"

namespace cranberrywing {

namespace {

using detail::MillisecondsText;
using detail::NumberText;
using detail::RegistrySource;
using detail::YesOrNo;

/// Evaluates the checks in the pipeline's order and records each of them.
class RequestExplainer
{
public:
  RequestExplainer(const Reducer& aReducer,
                   const RequestDescription& aRequest,
                   TimePoint aNow)
    : mReducer(aReducer)
    , mRequest(aRequest)
    , mNow(aNow)
    , mSettings(*aReducer.GetConfiguration().Current())
    , mDocument(aReducer.GetConfiguration().Document())
    , mRegion(aReducer.GetMembership().SelfUpdate().mRegion)
  {
    mExplanation.mRevision = mSettings.mRevision;
  }

  Explanation Run()
  {
    using Step = bool (RequestExplainer::*)();
    for (const Step step : { &RequestExplainer::ExplainRoute,
                             &RequestExplainer::ExplainKey,
                             &RequestExplainer::ExplainPolicies,
                             &RequestExplainer::ExplainBody,
                             &RequestExplainer::ExplainCurrency,
                             &RequestExplainer::ExplainRate,
                             &RequestExplainer::ExplainExecution,
                             &RequestExplainer::ExplainQueue,
                             &RequestExplainer::ExplainRegion,
                             &RequestExplainer::ExplainServers }) {
      if (!(this->*step)()) {
        break;
      }
    }
    return std::move(mExplanation);
  }

private:
  bool AddStep(ExplainStep aStep)
  {
    mExplanation.mSteps.push_back(std::move(aStep));
    return true;
  }

  bool Refuse(ExplainStep aStep, ResultCode aCode, const std::string& aReason)
  {
    aStep.mResult = "refused with " + std::string(ToString(aCode)) +
                    (aReason.empty() ? "" : ": " + aReason);
    mExplanation.mSteps.push_back(std::move(aStep));
    mExplanation.mCode = aCode;
    return false;
  }

  static ExplainStep Step(std::string aRule, std::vector<ExplainInput> aInputs)
  {
    return { .mRule = std::move(aRule),
             .mInputs = std::move(aInputs),
             .mSettings = {},
             .mResult = {} };
  }

  std::string ServiceNode() const
  {
    return "services/" + mRoute.mService.mName;
  }

  bool ExplainRoute()
  {
    ExplainStep step =
      Step("route",
           { { "method", mRequest.mMethod }, { "target", mRequest.mTarget } });
    if (mSettings.mRoutes.empty()) {
      return Refuse(std::move(step), ResultCode::NoConfiguration, "");
    }
    const RouteSettings* const route =
      mSettings.FindRoute(mRequest.mMethod, mRequest.mTarget);
    if (!route) {
      return Refuse(std::move(step), ResultCode::UnknownRoute, "");
    }
    mRoute = mSettings.Resolve(*route, mRegion, mRequest.mAccount);
    const std::string node = ServiceNode() + "/routes/" + mRoute.mRoute.mName;
    step.mSettings = {
      RegistrySource(mDocument, node, "path", mRoute.mPathPrefix),
      RegistrySource(mDocument, node, "method", mRoute.mMethod),
    };
    step.mResult =
      "route " + mRoute.mRoute.mName + " of service " + mRoute.mService.mName;
    return AddStep(std::move(step));
  }

  bool ExplainKey()
  {
    const std::string node = ServiceNode() + "/routes/" + mRoute.mRoute.mName;
    ExplainStep step = Step("key", { { "account", mRequest.mAccount.mName } });
    step.mSettings = { RegistrySource(
      mDocument, node, "open_to_all", mRoute.mOpenToAll ? "true" : "false") };
    const auto account = mSettings.mAccounts.find(mRequest.mAccount);
    const bool isKnown = account != mSettings.mAccounts.end();
    if (!isKnown && !mRoute.mOpenToAll) {
      const bool isMissing = mRequest.mAccount.IsEmpty();
      return Refuse(std::move(step),
                    isMissing ? ResultCode::KeyMissing : ResultCode::KeyUnknown,
                    isMissing ? "" : "there is no such client account");
    }
    if (!isKnown) {
      mRequest.mAccount = AccountId();
      step.mResult = "served without an account";
      return AddStep(std::move(step));
    }
    std::size_t valid = 0;
    for (const KeySettings& key : account->second.mKeys) {
      valid += key.mWithdrawn ? 0 : 1;
    }
    step.mInputs.push_back({ "valid keys", std::to_string(valid) });
    if (valid == 0 && !mRoute.mOpenToAll) {
      return Refuse(std::move(step),
                    ResultCode::KeyWithdrawn,
                    "the account has no valid key");
    }
    step.mResult = "runs for " + mRequest.mAccount.mName;
    return AddStep(std::move(step));
  }

  bool ExplainPolicies()
  {
    ExplainStep step = Step("policies", { { "region", mRegion.mName } });
    auto sources = ExplainPolicy(
      mDocument, mRegion, mRoute.mService, mRequest.mAccount, mRoute.mRoute);
    if (!sources) {
      return Refuse(
        std::move(step), sources.error().mCode, sources.error().mMessage);
    }
    step.mSettings = std::move(*sources);
    step.mResult = "each field from the most specific node that sets it";
    return AddStep(std::move(step));
  }

  bool ExplainBody()
  {
    ExplainStep step =
      Step("body size", { { "bytes", std::to_string(mRequest.mBodyBytes) } });
    if (mRequest.mBodyBytes > mRoute.mMaxBodyBytes) {
      return Refuse(std::move(step), ResultCode::RequestTooLarge, "");
    }
    step.mResult = "within max_body_bytes";
    return AddStep(std::move(step));
  }

  bool ExplainCurrency()
  {
    const Duration limit = mSettings.mFleet.mIsolationLimit;
    const Membership& membership = mReducer.GetMembership();
    const bool isCurrent =
      limit == Duration::zero() || membership.IsCurrent(limit, mNow);
    const auto age = membership.FreshestStoreContact(mNow);
    ExplainStep step =
      Step("knowledge of keys",
           { { "ms since store contact",
               age ? MillisecondsText(*age) : std::string("none") } });
    step.mSettings = { RegistrySource(
      mDocument, "fleet", "isolation_limit", FormatDuration(limit)) };
    if (!isCurrent && !mRoute.mOpenToAll) {
      return Refuse(std::move(step),
                    ResultCode::Isolated,
                    "this VM may have missed withdrawals");
    }
    step.mResult = isCurrent ? "recent" : "old, but the route is open to all";
    return AddStep(std::move(step));
  }

  bool ExplainRate()
  {
    if (mRequest.mAccount.IsEmpty()) {
      ExplainStep step = Step("rate", {});
      step.mResult = "no rate limit without an account";
      return AddStep(std::move(step));
    }
    const AccountSettings& account = mSettings.mAccounts.at(mRequest.mAccount);
    const double tokens = mReducer.GetRates().Tokens(account.mAccount, mNow);
    const std::string node = "accounts/" + account.mAccount.mName;
    ExplainStep step =
      Step("rate", { { "tokens of this VM", NumberText(tokens) } });
    step.mSettings = {
      RegistrySource(mDocument, node, "rate", NumberText(account.mRate)),
      RegistrySource(mDocument, node, "burst", NumberText(account.mBurst)),
    };
    step.mResult = tokens >= 1 ? "admitted"
                               : "waits for a token of this or another VM, "
                                 "else refused with rate_exceeded";
    return AddStep(std::move(step));
  }

  bool ExplainExecution()
  {
    const std::string node = ServiceNode() + "/routes/" + mRoute.mRoute.mName;
    ExplainStep step =
      Step("execution", { { "idempotency key", mRequest.mIdempotencyKey } });
    step.mSettings = { RegistrySource(
      mDocument, node, "idempotent", mRoute.mIdempotent ? "true" : "false") };
    if (mRoute.mIdempotent) {
      step.mResult = "may run more than once";
      return AddStep(std::move(step));
    }
    const auto place = mReducer.GetExecutions().Locate(
      { .mAccount = mRequest.mAccount,
        .mRoute = mRoute.mRoute,
        .mIdempotencyKey = mRequest.mIdempotencyKey });
    if (!place) {
      return Refuse(
        std::move(step), place.error().mCode, place.error().mMessage);
    }
    step.mInputs.push_back({ "slot", std::to_string(place->mSlot) });
    if (place->mIsOwnedLocally) {
      step.mResult = "runs at most once, owned by this VM";
    } else if (place->mOwner) {
      step.mResult =
        "runs at most once, passed to " + place->mOwner->mProcess.mVm.mName;
    } else {
      step.mResult = "waits until an owner of the slot is known";
    }
    return AddStep(std::move(step));
  }

  bool ExplainQueue()
  {
    const FairQueue& queue = mReducer.GetQueue();
    ExplainStep step =
      Step("queue",
           { { "running", std::to_string(queue.Running(mRoute.mService)) },
             { "waiting", std::to_string(queue.Waiting(mRoute.mService)) } });
    if (!mRequest.mAccount.IsEmpty()) {
      const auto& account = mSettings.mAccounts.at(mRequest.mAccount);
      step.mSettings = { RegistrySource(mDocument,
                                        "accounts/" + account.mAccount.mName,
                                        "weight",
                                        NumberText(account.mWeight)) };
    }
    step.mResult = queue.Waiting(mRoute.mService) == 0
                     ? "no request is waiting"
                     : "waits for its account's turn";
    return AddStep(std::move(step));
  }

  bool ExplainRegion()
  {
    ExplainStep step = Step("region", {});
    for (const auto& [region, part] :
         mReducer.GetShifts().ShiftedFractions(mRoute.mService, mNow)) {
      step.mInputs.push_back(
        { "part moved to " + region.mName, NumberText(part) });
    }
    for (const RegionId& region : mSettings.mRegions) {
      const double reserved =
        mReducer.GetOffers().Reserved(mRoute.mService, region, mNow);
      if (reserved > 0) {
        step.mInputs.push_back(
          { "reserved in " + region.mName, NumberText(reserved) });
      }
    }
    step.mResult = step.mInputs.empty()
                     ? mRegion.mName
                     : mRegion.mName + ", or one in which capacity is reserved";
    return AddStep(std::move(step));
  }

  bool ExplainServers()
  {
    ExplainStep step = Step("backend server", {});
    std::size_t usable = 0;
    std::size_t usableHere = 0;
    const auto service = mSettings.mServices.find(mRoute.mService);
    for (const BackendSettings& one : service->second.mBackends) {
      const bool isUsable = mReducer.GetHealth().IsUsable(one.mBackend, mNow);
      usable += isUsable ? 1 : 0;
      usableHere += isUsable && one.mRegion == mRegion ? 1 : 0;
      if (one.mRegion == mRegion) {
        step.mInputs.push_back(ServerInput(one, isUsable));
      }
    }
    if (usable == 0) {
      return Refuse(std::move(step), ResultCode::NoBackend, "");
    }
    step.mResult = "of " + std::to_string(usableHere) + " usable servers in " +
                   mRegion.mName +
                   ", the better of two drawn at random by in-flight requests "
                   "and latency";
    return AddStep(std::move(step));
  }

  ExplainInput ServerInput(const BackendSettings& aServer, bool aIsUsable) const
  {
    const BackendSelector& selector = mReducer.GetSelector();
    const double warmth =
      mReducer.GetHealth().SlowStartFactor(aServer.mBackend, mNow);
    return { aServer.mBackend.mName,
             "usable " + YesOrNo(aIsUsable) + ", draining " +
               YesOrNo(aServer.mDraining) + ", warmth " + NumberText(warmth) +
               ", in flight " +
               std::to_string(selector.InFlight(aServer.mBackend)) +
               ", latency ms " +
               MillisecondsText(selector.Latency(aServer.mBackend)) };
  }

  const Reducer& mReducer;
  RequestDescription mRequest;
  TimePoint mNow;
  const SettingsSnapshot& mSettings;
  std::string_view mDocument;
  RegionId mRegion;
  RouteSettings mRoute;
  Explanation mExplanation;
};

} // namespace

Explanation ExplainRequest(const Reducer& aReducer,
                           const RequestDescription& aRequest,
                           TimePoint aNow)
{
  return RequestExplainer(aReducer, aRequest, aNow).Run();
}

} // namespace cranberrywing
