#include "cranberrywingd/vm_list_poller.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <glog/logging.h>

#include "netutil/json.h"

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds kPollInterval{ 2 };
constexpr std::chrono::seconds kPollTimeout{ 2 };

tl::unexpected<Error> MalformedError(const std::string& aReason)
{
  return MakeError(ResultCode::Malformed, "VM list: " + aReason);
}

Result<event::VmListEntry> DecodeEntry(const json::value& aValue)
{
  const json::object* entry = aValue.if_object();
  const json::object* labels =
    entry ? netutil::FindObject(*entry, "labels") : nullptr;
  if (!labels) {
    return MalformedError("entry lacks labels");
  }
  const std::string vm = netutil::FindString(*labels, "vm");
  const std::string state = netutil::FindString(*labels, "state");
  if (vm.empty()) {
    return MalformedError("entry lacks label vm");
  }
  if (state != "live" && state != "leaving") {
    return MalformedError("unknown state '" + state + "' of " + vm);
  }
  return event::VmListEntry{ .mVm = VmId(vm), .mLeaving = state == "leaving" };
}

} // namespace

Result<event::VmListReceived> DecodeVmList(std::string_view aBody)
{
  boost::system::error_code ec;
  const json::value body = json::parse(aBody, ec);
  if (ec || !body.is_array()) {
    return MalformedError("body is not a JSON array");
  }
  event::VmListReceived list;
  for (const json::value& value : body.get_array()) {
    const auto entry = DecodeEntry(value);
    if (!entry) {
      return tl::unexpected(entry.error());
    }
    list.mEntries.push_back(*entry);
  }
  return list;
}

VmListPoller::VmListPoller(boost::asio::io_context& aContext,
                           VmListAddress aAddress,
                           EventSink aSink)
  : mAddress(std::move(aAddress))
  , mSink(std::move(aSink))
  , mPool(aContext, {})
  , mTimer(aContext)
{
}

void VmListPoller::Start()
{
  if (mAddress.mEndpoint.mPort != 0) {
    Poll();
  }
}

void VmListPoller::Stop()
{
  mIsStopped = true;
  mTimer.cancel();
}

void VmListPoller::Poll()
{
  RequestContent request;
  request.mMethod = "GET";
  request.mTarget = mAddress.mTarget;
  request.mHeaders = { { "Accept", "application/json" } };
  mPool.Start(mAddress.mEndpoint,
              std::make_shared<const RequestContent>(std::move(request)),
              {},
              kPollTimeout,
              [this](netutil::ExchangeResult aResult) { OnResult(aResult); });
}

void VmListPoller::OnResult(const netutil::ExchangeResult& aResult)
{
  if (mIsStopped) {
    return;
  }
  mTimer.expires_after(kPollInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Poll();
    }
  });
  if (!aResult || aResult->mStatus != 200) {
    return;
  }
  auto list = DecodeVmList(aResult->mBody);
  if (!list) {
    LOG_EVERY_N(WARNING, 30)
      << "event=vm_list_unusable reason=\"" << list.error().mMessage << '"';
    return;
  }
  mSink(std::move(*list));
}

} // namespace cranberrywing::daemon
