#include <array>
#include <cstdio>

#include "explain_steps.h"

namespace cranberrywing {

namespace detail {

PolicySource RegistrySource(std::string_view aDocument,
                            const std::string& aNode,
                            const std::string& aField,
                            std::string aValue)
{
  const bool isSet = ReadSetting(aDocument, aNode + "/" + aField).has_value();
  return { .mField = aField,
           .mValue = std::move(aValue),
           .mNode = isSet ? aNode : "default" };
}

std::string NumberText(double aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", aNumber);
  return text.data();
}

std::string MillisecondsText(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aTime).count());
}

std::string YesOrNo(bool aIsTrue)
{
  return aIsTrue ? "yes" : "no";
}

} // namespace detail

namespace {

std::string AddressText(std::uint32_t aAddress)
{
  std::array<char, 16> text{};
  std::snprintf(text.data(),
                text.size(),
                "%u.%u.%u.%u",
                aAddress >> 24,
                aAddress >> 16 & 255,
                aAddress >> 8 & 255,
                aAddress & 255);
  return text.data();
}

ExplainStep SiteStep(const event::LookupArrived& aLookup,
                     const LookupTrace& aTrace)
{
  return { .mRule = "client block",
           .mInputs = { { "client", AddressText(aLookup.mClientAddress) } },
           .mSettings = {},
           .mResult = aTrace.mSite ? "site " + aTrace.mSite->mName
                                   : "no block holds the address" };
}

ExplainStep RegionStep(const LookupTrace& aTrace)
{
  ExplainStep step{ .mRule = "region",
                    .mInputs = { { aTrace.mSite ? "region of the site"
                                                : "region of this VM",
                                   aTrace.mPreferredRegion.mName },
                                 { "usable VMs named from",
                                   std::to_string(aTrace.mRegionVms) } },
                    .mSettings = {},
                    .mResult = "region " + aTrace.mRegion.mName };
  if (aTrace.mRegion.IsEmpty()) {
    step.mResult = "no VM is usable";
  } else if (aTrace.mRegion != aTrace.mPreferredRegion) {
    step.mResult += ", the nearest with usable VMs";
  }
  return step;
}

ExplainStep OwnerStep(const event::LookupArrived& aLookup,
                      const LookupTrace& aTrace)
{
  const auto& owner = aTrace.mExecutionOwner;
  return { .mRule = "owner of the execution",
           .mInputs = { { "idempotency key", aLookup.mIdempotencyKey },
                        { "route", aLookup.mRoute.mName } },
           .mSettings = {},
           .mResult =
             owner ? owner->mName + " is listed first" : "owner unknown" };
}

ExplainStep SpreadStep(const event::LookupArrived& aLookup,
                       const LookupTrace& aTrace,
                       const Configuration& aConfiguration)
{
  const std::string& name = aLookup.mAccount.mName;
  ExplainStep step{ .mRule = "spread",
                    .mInputs = { { "account", name } },
                    .mSettings = {},
                    .mResult = {} };
  if (aTrace.mHasSubset) {
    const auto& account =
      aConfiguration.Current()->mAccounts.at(aLookup.mAccount);
    step.mSettings.push_back(
      detail::RegistrySource(aConfiguration.Document(),
                             "accounts/" + name,
                             "subset_size",
                             std::to_string(account.mSubsetSize)));
    step.mResult = "the account's subset of the region's VMs";
    return step;
  }
  step.mInputs.push_back(
    { "VMs of the site", std::to_string(aTrace.mSiteVms) });
  step.mResult = aTrace.mSiteVms > 0 ? "the site's VMs by client address"
                                     : "the region's VMs by client address";
  return step;
}

ExplainStep AnswerStep(const LookupTrace& aTrace,
                       const Configuration& aConfiguration)
{
  std::string vms;
  for (const effect::LookupVm& vm : aTrace.mAnswer.mVms) {
    vms += (vms.empty() ? "" : ", ") + vm.mVm.mName;
  }
  return { .mRule = "answer",
           .mInputs = {},
           .mSettings = { detail::RegistrySource(
             aConfiguration.Document(),
             "fleet",
             "lookup_lifetime",
             FormatDuration(aTrace.mAnswer.mLifetime)) },
           .mResult = vms.empty() ? "no VM" : vms };
}

} // namespace

Explanation ExplainLookup(const Reducer& aReducer,
                          const event::LookupArrived& aLookup,
                          TimePoint aNow)
{
  const Configuration& configuration = aReducer.GetConfiguration();
  const LookupTrace trace = aReducer.GetSteering().Trace(aLookup, aNow);
  Explanation explanation;
  explanation.mRevision = configuration.Current()->mRevision;
  auto& steps = explanation.mSteps;
  if (!aLookup.mIdempotencyKey.empty()) {
    steps.push_back(OwnerStep(aLookup, trace));
  }
  steps.push_back(SiteStep(aLookup, trace));
  steps.push_back(RegionStep(trace));
  steps.push_back(SpreadStep(aLookup, trace, configuration));
  steps.push_back(AnswerStep(trace, configuration));
  return explanation;
}

} // namespace cranberrywing
