#include "standins/load/lookup_cache.h"

#include "netutil/json.h"

namespace cranberrywing::standins {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds kLookupTimeout{ 1 };

std::optional<netutil::Endpoint> DecodeVm(const json::object& aVm)
{
  const auto port = netutil::FindInteger(aVm, "port");
  const std::string address = netutil::FindString(aVm, "address");
  if (!port || address.empty()) {
    return std::nullopt;
  }
  return netutil::Endpoint{ address, static_cast<std::uint16_t>(*port) };
}

} // namespace

Result<LookupResult> DecodeLookup(std::string_view aBody)
{
  const auto body = netutil::ParseObject(aBody);
  if (!body) {
    return tl::unexpected(body.error());
  }
  LookupResult result;
  if (const json::array* vms = netutil::FindArray(*body, "vms")) {
    for (const json::value& value : *vms) {
      const auto vm =
        value.is_object() ? DecodeVm(value.get_object()) : std::nullopt;
      if (!vm) {
        return MakeError(ResultCode::Malformed,
                         "element of \"vms\" has no address or port");
      }
      result.mVms.push_back(*vm);
    }
  }
  result.mLifetime =
    Milliseconds(netutil::FindInteger(*body, "lifetime_ms").value_or(0));
  result.mTicket = netutil::FindString(*body, "ticket");
  if (const json::object* vm = netutil::FindObject(*body, "ticket_vm")) {
    result.mTicketVm = DecodeVm(*vm);
  }
  return result;
}

std::string LookupTarget(const LoadOptions& aOptions, bool aWantsTicket)
{
  return "/v1/lookup?client=" + aOptions.mClient +
         "&account=" + aOptions.mAccount.mName +
         "&route=" + aOptions.mRoute.mName + (aWantsTicket ? "&ticket=1" : "");
}

LookupCache::LookupCache(const LoadOptions& aOptions,
                         netutil::HttpClientPool& aPool)
  : mOptions(aOptions)
  , mPool(aPool)
{
}

netutil::Endpoint LookupCache::Daemon(std::size_t aAttempt) const
{
  return mOptions.mDaemons[(mPreferred + aAttempt) % mOptions.mDaemons.size()];
}

void LookupCache::Get(Handler aHandler)
{
  if (mOptions.mSkipLookups) {
    mVms.clear();
    for (std::size_t n = 0; n < mOptions.mDaemons.size(); ++n) {
      mVms.push_back(Daemon(n));
    }
    ++mPreferred;
    aHandler(mVms);
    return;
  }
  if (std::chrono::steady_clock::now() < mValidUntil) {
    aHandler(mVms);
    return;
  }
  mPendingHandlers.push_back(std::move(aHandler));
  if (mPendingHandlers.size() == 1) {
    SendLookup(0);
  }
}

void LookupCache::Expire()
{
  mValidUntil = {};
}

void LookupCache::SendLookup(std::size_t aAttempt)
{
  ++mLookups;
  RequestContent request;
  request.mMethod = "GET";
  request.mTarget = LookupTarget(mOptions, false);
  mPool.Start(Daemon(aAttempt),
              std::make_shared<const RequestContent>(std::move(request)),
              {},
              kLookupTimeout,
              [this, aAttempt](netutil::ExchangeResult aResult) {
                OnAnswer(aAttempt, aResult);
              });
}

void LookupCache::OnAnswer(std::size_t aAttempt,
                           const netutil::ExchangeResult& aResult)
{
  const auto lookup = aResult && aResult->mStatus == 200
                        ? DecodeLookup(aResult->mBody)
                        : MakeError(ResultCode::PeerUnreachable,
                                    "no usable answer to the lookup");
  if (lookup && !lookup->mVms.empty()) {
    mPreferred = (mPreferred + aAttempt) % mOptions.mDaemons.size();
    mVms = lookup->mVms;
    mValidUntil = std::chrono::steady_clock::now() + lookup->mLifetime;
    Finish();
    return;
  }
  if (aAttempt + 1 < mOptions.mDaemons.size()) {
    SendLookup(aAttempt + 1);
    return;
  }
  mVms.clear();
  Finish();
}

void LookupCache::Finish()
{
  const auto handlers = std::move(mPendingHandlers);
  mPendingHandlers.clear();
  for (const Handler& handler : handlers) {
    handler(mVms);
  }
}

} // namespace cranberrywing::standins
