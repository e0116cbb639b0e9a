// Execution of the reducers' effects.
#include "cranberrywing/message.h"
#include "world.h"

namespace cranberrywing::scenario {

namespace {

constexpr Duration kIntraRegionDelay = std::chrono::milliseconds(1);
constexpr Duration kInterRegionDelay = std::chrono::milliseconds(20);
constexpr Duration kStoreDelay = std::chrono::milliseconds(3);
constexpr Duration kConnectFailureDelay = std::chrono::milliseconds(1);

AnswerContentPtr MakeAnswer(std::uint32_t aStatus, std::string aBody)
{
  auto answer = std::make_shared<AnswerContent>();
  answer->mStatus = aStatus;
  answer->mBody = std::move(aBody);
  return answer;
}

bool IsWrite(const StoreCall& aCall)
{
  return !aCall.mTxn || !aCall.mTxn->mPuts.empty() ||
         !aCall.mTxn->mDeletes.empty();
}

} // namespace

bool World::DrawChance(double aProbability)
{
  // Draws no random number for probability zero, so that a scenario without
  // loss does not depend on the order of its messages.
  return aProbability > 0 &&
         std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
}

void World::ExecuteEffects(Vm& aVm, const EffectList& aEffects)
{
  const std::string& vm = aVm.mName;
  for (const Effect& effect : aEffects) {
    if (const auto* dispatch = std::get_if<effect::Dispatch>(&effect)) {
      Run(aVm, *dispatch);
    } else if (const auto* respond = std::get_if<effect::Respond>(&effect)) {
      mOutcomes[mRequestLabels[{ vm, respond->mRequest }]] = {
        .mIsAnswered = true,
        .mIsReplayed = respond->mReplayed,
        .mBody = respond->mAnswer->mBody,
        .mAt = mNow
      };
    } else if (const auto* refuse = std::get_if<effect::Refuse>(&effect)) {
      mOutcomes[mRequestLabels[{ vm, refuse->mRequest }]] = {
        .mCode = refuse->mRefusal.mCode,
        .mExecution = refuse->mRefusal.mExecution,
        .mBody = refuse->mRefusal.mDetail,
        .mAt = mNow
      };
    } else if (const auto* ticket =
                 std::get_if<effect::AnswerTicket>(&effect)) {
      mTickets[mRequestLabels[{ vm, ticket->mRequest }]] = ticket->mTicket;
    } else if (const auto* lookup =
                 std::get_if<effect::AnswerLookup>(&effect)) {
      CachedLookup& cached = mLookups[mLookupCaller];
      cached.mVms.clear();
      for (const effect::LookupVm& named : lookup->mVms) {
        cached.mVms.push_back(named.mVm.mName);
      }
      cached.mExpiry = mNow + lookup->mLifetime;
    } else if (const auto* edit = std::get_if<effect::AnswerEdit>(&effect)) {
      const auto number = static_cast<RequestId>(edit->mRequest);
      mEdits[mRequestLabels[{ vm, number }]] = *edit;
    } else if (const auto* send = std::get_if<effect::SendMessage>(&effect)) {
      Send(aVm, *send);
    } else if (const auto* call = std::get_if<effect::CallStore>(&effect)) {
      CallStore(aVm, *call);
    } else if (const auto* watch = std::get_if<effect::WatchStore>(&effect)) {
      aVm.mWatches[watch->mWatch] = *watch;
      aVm.mWatchPosition[watch->mWatch] = 0;
    } else if (const auto* end = std::get_if<effect::CancelWatch>(&effect)) {
      aVm.mWatches.erase(end->mWatch);
    } else if (const auto* probe = std::get_if<effect::ProbeBackend>(&effect)) {
      Probe(aVm, *probe);
    } else if (const auto* entry =
                 std::get_if<effect::RecordTimeline>(&effect)) {
      std::string line = entry->mName;
      for (const effect::Field& field : entry->mFields) {
        line += " " + field.mName + "=" + field.mValue;
      }
      mTimeline[vm].push_back(std::move(line));
    } else if (std::holds_alternative<effect::Exit>(effect)) {
      aVm.mHasExited = true;
    }
  }
  if (aVm.mHasExited) {
    aVm.mReducer.reset();
  }
}

void World::Run(Vm& aVm, const effect::Dispatch& aDispatch)
{
  const VmIncarnation& process = aVm.mSelf.mMember;
  if (!mAttempts
         .insert({ process.mVm.mName,
                   process.mIncarnation.mNumber,
                   aDispatch.mRequest,
                   aDispatch.mAttempt })
         .second) {
    mRepeatedAttempts.push_back(aDispatch.mContent->mBody);
  }
  Backend& backend = mBackends[aDispatch.mBackend.mName];
  event::BackendFailed failed{ .mRequest = aDispatch.mRequest,
                               .mAttempt = aDispatch.mAttempt };
  if (backend.mMode == BackendMode::Refuses || backend.mIsDown ||
      !aVm.mHasServers) {
    failed.mStage = event::FailureStage::BeforeFirstByte;
    failed.mKind = event::FailureKind::Connect;
    Schedule(aVm, mNow + kConnectFailureDelay, failed);
    return;
  }
  if (backend.mMode == BackendMode::Sheds) {
    failed.mKind = event::FailureKind::Shed;
    Schedule(aVm, mNow + backend.mLatency, failed);
    return;
  }
  const std::string& body = aDispatch.mContent->mBody;
  mRuns.push_back({ .mBackend = aDispatch.mBackend.mName,
                    .mLabel = body,
                    .mIsIdempotent = aDispatch.mContent->mMethod == "GET",
                    .mAt = mNow });
  const bool isLate = backend.mMode == BackendMode::Hangs ||
                      backend.mLatency > aDispatch.mTimeout;
  if (isLate) {
    failed.mKind = event::FailureKind::Timeout;
    Schedule(aVm, mNow + aDispatch.mTimeout, failed);
    return;
  }
  const bool isCrash =
    backend.mMode == BackendMode::Crashes && body.starts_with("crash");
  if (isCrash) {
    backend.mIsDown = true;
    failed.mKind = event::FailureKind::Reset;
    Schedule(aVm, mNow + backend.mLatency, failed);
    return;
  }
  const bool isError = backend.mMode == BackendMode::Fails;
  Schedule(aVm,
           mNow + backend.mLatency,
           event::BackendResponded{
             .mRequest = aDispatch.mRequest,
             .mAttempt = aDispatch.mAttempt,
             .mAnswer = MakeAnswer(isError ? 500 : 200, "answer to " + body),
             .mLatency = backend.mLatency });
}

World::Vm* World::FindReceiver(const effect::SendMessage& aMessage)
{
  for (auto& [name, vm] : mVms) {
    const bool isNamed = aMessage.mTo == vm.mSelf.mMember.mVm;
    const bool isAddressed =
      aMessage.mTo.IsEmpty() && aMessage.mPort == vm.mSelf.mPeerPort;
    if (isNamed || isAddressed) {
      return &vm;
    }
  }
  return nullptr;
}

bool World::IsPartitioned(const Vm& aLeft, const Vm& aRight) const
{
  return mPartitions.contains({ aLeft.mName, aRight.mName });
}

void World::Send(Vm& aVm, const effect::SendMessage& aMessage)
{
  Vm* receiver = FindReceiver(aMessage);
  if (!receiver) {
    return;
  }
  const bool isStream = aMessage.mTransport == effect::Transport::Stream;
  const bool isReachable = receiver->mReducer && !IsPartitioned(aVm, *receiver);
  if (!isReachable) {
    if (isStream) {
      Schedule(aVm,
               mNow + kConnectFailureDelay,
               event::PeerUnreachable{ receiver->mSelf.mMember.mVm });
    }
    return;
  }
  if (!isStream && DrawChance(mDropProbability)) {
    return;
  }
  const bool isSameRegion = aVm.mSelf.mRegion == receiver->mSelf.mRegion;
  const Duration delay = isSameRegion ? kIntraRegionDelay : kInterRegionDelay;
  // Encoded and decoded, so that a field missing from the codec is detected.
  const MessageCodec codec;
  const auto envelope = DecodeEnvelope(
    EncodeEnvelope(
      { .mFrom = aVm.mSelf.mMember, .mMessage = aMessage.mMessage }, codec),
    codec);
  const event::PeerMessageReceived received{ .mFrom = envelope.value().mFrom,
                                             .mMessage =
                                               envelope.value().mMessage };
  const int copies = !isStream && DrawChance(mDuplicateProbability) ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    Duration jitter{};
    if (!isStream && mMaxJitter > Duration::zero()) {
      jitter = Duration(std::uniform_int_distribution<Duration::rep>(
        0, mMaxJitter.count())(mRandom));
    }
    Schedule(*receiver, mNow + delay + jitter, received);
  }
}

void World::CallStore(Vm& aVm, const effect::CallStore& aCall)
{
  event::StoreReplied replied{ .mCall = aCall.mCall };
  if (!aVm.mHasStore || mStoreMode == StoreMode::Down) {
    replied.mReply =
      MakeError(ResultCode::StoreUnavailable, "simulated store outage");
  } else {
    StoreReply reply = mStore.Apply(aCall.mRequest, mNow);
    const bool isLost =
      mStoreMode == StoreMode::LosesAnswers && IsWrite(aCall.mRequest);
    if (isLost) {
      replied.mReply = MakeError(ResultCode::OutcomeUnknown,
                                 "simulated loss of the store's reply");
    } else {
      replied.mReply = std::move(reply);
    }
  }
  Schedule(aVm, mNow + kStoreDelay, std::move(replied));
}

void World::Probe(Vm& aVm, const effect::ProbeBackend& aProbe)
{
  const Backend& backend = mBackends[aProbe.mBackend.mName];
  const bool isUp = backend.mMode != BackendMode::Refuses && !backend.mIsDown &&
                    aVm.mHasServers;
  Schedule(aVm,
           mNow + backend.mLatency,
           event::HealthReported{ .mBackend = aProbe.mBackend,
                                  .mHealthy = isUp && backend.mReportsHealthy,
                                  .mHasAnswered = isUp });
  if (isUp) {
    Schedule(aVm,
             mNow + backend.mLatency,
             event::LoadReported{
               .mBackend = aProbe.mBackend,
               .mReport = { .mUtilization = 0.1,
                            .mRequestsPerSecond = backend.mReportedRate } });
  }
}

} // namespace cranberrywing::scenario
