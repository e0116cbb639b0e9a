#include "standins/load/caller.h"

#include <algorithm>

#include "netutil/headers.h"
#include "netutil/json.h"

namespace cranberrywing::standins {

namespace {

/// Delay before a retry of a request or of a ticket request.
constexpr Milliseconds kRetryInterval{ 200 };
constexpr std::size_t kMaxTicketAttempts = 20;

/// Whether the answer is a refusal by the system itself: a problem document
/// that states whether the request was executed.
bool IsSystemRefusal(const AnswerContent& aAnswer)
{
  const std::string* type =
    netutil::FindHeader(aAnswer.mHeaders, "Content-Type");
  return type && *type == "application/problem+json" &&
         aAnswer.mBody.find("\"execution\"") != std::string::npos;
}

/// Whether a retry cannot change the refusal.
bool IsFinalRefusal(std::int64_t aCode)
{
  const auto code = static_cast<ResultCode>(aCode);
  return aCode < 300 || code == ResultCode::RequestBlocked ||
         code == ResultCode::OutcomeUnknown;
}

} // namespace

Caller::Caller(CallerContext aContext,
               std::string aIdentity,
               Clock::time_point aScheduledStart,
               DoneHandler aDone)
  : mContext(aContext)
  , mScheduledStart(aScheduledStart)
  , mDone(std::move(aDone))
  , mTimer(aContext.mContext)
{
  mRecord.mIdentity = std::move(aIdentity);
}

void Caller::Start()
{
  if (mContext.mOptions.mMode == LoadMode::Ticket) {
    RequestTicket();
    return;
  }
  Attempt();
}

Duration Caller::TimeLeft() const
{
  return std::chrono::duration_cast<Duration>(
    mScheduledStart + mContext.mOptions.mDeadline - Clock::now());
}

void Caller::RequestTicket()
{
  if (TimeLeft() <= Duration::zero() ||
      ++mTicketAttempts > kMaxTicketAttempts) {
    Finish(Outcome::NotRun);
    return;
  }
  SendTicketRequest(mContext.mLookups.Daemon(mTicketAttempts - 1), true);
}

void Caller::SendTicketRequest(const netutil::Endpoint& aVm, bool aIsLookup)
{
  const LoadOptions& options = mContext.mOptions;
  RequestContent request;
  request.mMethod = aIsLookup ? "GET" : "POST";
  request.mTarget = aIsLookup ? LookupTarget(options, true)
                              : "/v1/tickets?route=" + options.mRoute.mName;
  request.mHeaders = { { "Authorization", "Bearer " + options.mKey } };
  mContext.mPool.Start(
    aVm,
    std::make_shared<const RequestContent>(std::move(request)),
    {},
    options.mAttemptTimeout,
    [self = shared_from_this()](netutil::ExchangeResult aResult) {
      self->OnTicket(aResult);
    });
}

void Caller::OnTicket(const netutil::ExchangeResult& aResult)
{
  const bool isSuccess =
    aResult && (aResult->mStatus == 200 || aResult->mStatus == 201);
  const auto lookup = isSuccess
                        ? DecodeLookup(aResult->mBody)
                        : MakeError(ResultCode::PeerUnreachable,
                                    "no usable answer to the ticket request");
  if (lookup && !lookup->mTicket.empty()) {
    mTicket = lookup->mTicket;
    Attempt();
    return;
  }
  if (lookup && lookup->mTicketVm && mTicketAttempts <= kMaxTicketAttempts) {
    ++mTicketAttempts;
    SendTicketRequest(*lookup->mTicketVm, false);
    return;
  }
  mTimer.expires_after(kRetryInterval);
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      if (!aError) {
        self->RequestTicket();
      }
    });
}

void Caller::Attempt()
{
  if (TimeLeft() <= Duration::zero() ||
      mRecord.mAttempts >= mContext.mOptions.mMaxAttempts) {
    const bool isNotRun = !mMayHaveRun && mRecord.mCode != 0;
    Finish(isNotRun ? Outcome::NotRun : Outcome::NoAnswer);
    return;
  }
  mContext.mLookups.Get(
    [self = shared_from_this()](const std::vector<netutil::Endpoint>& aVms) {
      if (aVms.empty()) {
        self->ScheduleRetry();
        return;
      }
      self->SendTo(aVms[self->mNextVm++ % aVms.size()]);
    });
}

RequestContent Caller::MakeRequest() const
{
  const LoadOptions& options = mContext.mOptions;
  RequestContent request;
  request.mTarget = options.mPath;
  request.mMethod = options.mMode == LoadMode::Get ? "GET" : "POST";
  if (!options.mKey.empty()) {
    request.mHeaders.push_back({ "Authorization", "Bearer " + options.mKey });
  }
  if (options.mMode == LoadMode::Order) {
    request.mHeaders.push_back({ "Idempotency-Key", mRecord.mIdentity });
  }
  if (options.mMode == LoadMode::Ticket) {
    request.mHeaders.push_back({ "Cranberrywing-Ticket", mTicket });
  }
  if (options.mMode != LoadMode::Get) {
    request.mBody = mRecord.mIdentity;
  }
  return request;
}

void Caller::SendTo(const netutil::Endpoint& aVm)
{
  ++mRecord.mAttempts;
  const Duration timeout =
    std::min(mContext.mOptions.mAttemptTimeout,
             std::max(TimeLeft(), Duration(Milliseconds(1))));
  const auto left = std::chrono::duration_cast<Milliseconds>(timeout);
  mContext.mPool.Start(
    aVm,
    std::make_shared<const RequestContent>(MakeRequest()),
    { { "X-Request-Deadline-Ms", std::to_string(left.count()) } },
    timeout,
    [self = shared_from_this()](netutil::ExchangeResult aResult) {
      self->OnResult(std::move(aResult));
    });
}

void Caller::OnResult(netutil::ExchangeResult aResult)
{
  if (!aResult) {
    mMayHaveRun = mMayHaveRun || aResult.error().mWasSent;
    mContext.mLookups.Expire();
    ScheduleRetry();
    return;
  }
  mRecord.mStatus = aResult->mStatus;
  if (IsSystemRefusal(*aResult)) {
    OnRefusal(*aResult);
    return;
  }
  mRecord.mWasReplayed =
    netutil::FindHeader(aResult->mHeaders, "Cranberrywing-Replayed") != nullptr;
  Finish(Outcome::Answered);
}

void Caller::OnRefusal(const AnswerContent& aAnswer)
{
  const auto body = netutil::ParseObject(aAnswer.mBody);
  const std::string execution =
    body ? netutil::FindString(*body, "execution") : std::string();
  mRecord.mCode = body ? netutil::FindInteger(*body, "code").value_or(0) : 0;
  mMayHaveRun = mMayHaveRun || execution != "not_run";
  if (execution == "completed") {
    Finish(Outcome::Completed);
    return;
  }
  if (!IsFinalRefusal(mRecord.mCode)) {
    ScheduleRetry();
    return;
  }
  Finish(execution == "not_run" && !mMayHaveRun ? Outcome::NotRun
                                                : Outcome::Unknown);
}

void Caller::ScheduleRetry()
{
  mTimer.expires_after(kRetryInterval);
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      if (!aError) {
        self->Attempt();
      }
    });
}

void Caller::Finish(Outcome aOutcome)
{
  mRecord.mOutcome = aOutcome;
  mRecord.mLatency =
    std::chrono::duration_cast<Duration>(Clock::now() - mScheduledStart);
  mDone(std::move(mRecord));
}

} // namespace cranberrywing::standins
