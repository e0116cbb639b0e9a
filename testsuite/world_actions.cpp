// Actions of scenario steps.
#include <stdexcept>

#include "cranberrywing/settings.h"
#include "world.h"

namespace cranberrywing::scenario {

namespace {

std::string GetString(const YAML::Node& aNode,
                      const std::string& aName,
                      const std::string& aDefault = "")
{
  return aNode[aName] ? aNode[aName].as<std::string>() : aDefault;
}

std::vector<std::string> GetStringList(const YAML::Node& aNode)
{
  if (aNode.IsSequence()) {
    return aNode.as<std::vector<std::string>>();
  }
  return { aNode.as<std::string>() };
}

} // namespace

void World::ExecuteStep(const Step& aStep)
{
  const YAML::Node& arguments = aStep.mArguments;
  if (aStep.mAction == "start") {
    for (const std::string& name : GetStringList(arguments)) {
      Start(mVms.at(name));
    }
  } else if (aStep.mAction == "kill") {
    for (const std::string& name : GetStringList(arguments)) {
      Kill(mVms.at(name));
    }
  } else if (aStep.mAction == "unlist") {
    for (const std::string& name : GetStringList(arguments)) {
      mListedVms.erase(name);
    }
  } else if (aStep.mAction == "pause" || aStep.mAction == "resume") {
    for (const std::string& name : GetStringList(arguments)) {
      Vm& vm = mVms.at(name);
      vm.mIsPaused = aStep.mAction == "pause";
      for (const Event& held : std::exchange(vm.mDeferredEvents, {})) {
        Deliver(vm, held);
      }
    }
  } else if (aStep.mAction == "shutdown") {
    Deliver(mVms.at(arguments.as<std::string>()), event::ShutdownRequested{});
  } else if (aStep.mAction == "request") {
    SendRequest(arguments);
  } else if (aStep.mAction == "ticket") {
    Vm& vm = mVms.at(GetString(arguments, "vm"));
    const auto id = static_cast<RequestId>(mNextRequest++);
    mRequestLabels[{ vm.mName, id }] = GetString(arguments, "id");
    Deliver(vm,
            event::TicketRequested{ .mRequest = id,
                                    .mKey = GetString(arguments, "key"),
                                    .mRoute =
                                      RouteId(GetString(arguments, "route")) });
  } else if (aStep.mAction == "edit") {
    SendEdit(arguments);
  } else if (aStep.mAction == "backend") {
    SetBackend(arguments);
  } else if (aStep.mAction == "store") {
    const std::string mode = arguments.as<std::string>();
    mStoreMode = mode == "down"            ? StoreMode::Down
                 : mode == "loses_answers" ? StoreMode::LosesAnswers
                                           : StoreMode::Up;
  } else if (aStep.mAction == "store_cut" || aStep.mAction == "store_join") {
    for (const std::string& name : GetStringList(arguments)) {
      mVms.at(name).mHasStore = aStep.mAction == "store_join";
    }
  } else if (aStep.mAction == "servers_cut" ||
             aStep.mAction == "servers_join") {
    for (const std::string& name : GetStringList(arguments)) {
      mVms.at(name).mHasServers = aStep.mAction == "servers_join";
    }
  } else if (aStep.mAction == "cut") {
    AddPartition(arguments);
  } else if (aStep.mAction == "heal") {
    mPartitions.clear();
  } else if (aStep.mAction == "network") {
    SetNetwork(arguments);
  } else {
    throw std::runtime_error("unknown scenario action \"" + aStep.mAction +
                             "\"");
  }
}

void World::Start(Vm& aVm)
{
  if (aVm.mReducer) {
    Kill(aVm);
  }
  ++aVm.mStartCount;
  aVm.mIsPaused = false;
  aVm.mHasExited = false;
  aVm.mDeferredEvents.clear();
  aVm.mWatches.clear();
  aVm.mWatchPosition.clear();
  mListedVms.insert(aVm.mName);
  aVm.mSelf.mMember.mIncarnation = { static_cast<std::uint64_t>(
                                       mNow.time_since_epoch().count()) +
                                     aVm.mStartCount };
  std::vector<VmSettings> seeds;
  for (const auto& [name, other] : mVms) {
    if (name != aVm.mName) {
      seeds.push_back({ .mVm = VmId(name),
                        .mRegion = other.mSelf.mRegion,
                        .mFailureDomain = other.mSelf.mFailureDomain,
                        .mSite = other.mSelf.mSite,
                        .mAddress = other.mSelf.mAddress,
                        .mCallerPort = other.mSelf.mCallerPort,
                        .mPeerPort = other.mSelf.mPeerPort });
    }
  }
  aVm.mReducer = std::make_unique<Reducer>(
    Reducer::Options{ .mSelf = aVm.mSelf,
                      .mSeeds = seeds,
                      .mInitialDocument = mScript.mSettings,
                      .mSeed = mScript.mSeed });
  ExecuteEffects(aVm, aVm.mReducer->Start(mNow, WallSeconds()));
}

void World::Kill(Vm& aVm)
{
  aVm.mReducer.reset();
  // Callers with an open request see a connection reset: outcome unknown.
  for (const auto& [request, id] : mRequestLabels) {
    const bool isOpen = request.first == aVm.mName &&
                        mRequestBodies.contains(id) && !mOutcomes.contains(id);
    if (isOpen) {
      mOutcomes[id] = { .mCode = ResultCode::PeerUnreachable,
                        .mExecution = Execution::Unknown,
                        .mBody = "connection lost: the VM was killed",
                        .mAt = mNow };
    }
  }
}

void World::SendRequest(const YAML::Node& aArguments)
{
  const std::string id = GetString(aArguments, "id");
  const std::string name = GetString(aArguments, "vm");
  Vm& vm = name == "any" ? ChooseVm(aArguments) : mVms.at(name);
  const auto number = static_cast<RequestId>(mNextRequest++);
  mRequestLabels[{ vm.mName, number }] = id;
  auto content = std::make_shared<RequestContent>();
  content->mMethod = GetString(aArguments, "method", "GET");
  content->mTarget = GetString(aArguments, "target");
  content->mBody = GetString(aArguments, "body", id);
  mRequestBodies[id] = content->mBody;
  mSendTimes[id] = mNow;
  if (!vm.mReducer) {
    mOutcomes[id] = { .mCode = ResultCode::PeerUnreachable,
                      .mExecution = Execution::NotAttempted,
                      .mAt = mNow };
    return;
  }
  event::RequestArrived arrived{
    .mRequest = number,
    .mCaller = CallerId{},
    .mKey = GetString(aArguments, "key"),
    .mContent = std::move(content),
    .mIdempotencyKey = GetString(aArguments, "idempotency_key"),
  };
  if (aArguments["ticket_of"]) {
    arrived.mTicket = mTickets[GetString(aArguments, "ticket_of")];
  }
  if (aArguments["timeout"]) {
    arrived.mTimeout = ReadDuration(aArguments["timeout"]);
  }
  Deliver(vm, arrived);
}

World::Vm& World::ChooseVm(const YAML::Node& aArguments)
{
  const std::string from = GetString(aArguments, "from", "10.0.0.1");
  CachedLookup& cached = mLookups[from];
  if (mNow >= cached.mExpiry) {
    for (auto& [name, vm] : mVms) {
      // A VM that is not ready returns an empty answer; the caller then asks
      // the next VM.
      const bool isAnswered = mNow < cached.mExpiry && !cached.mVms.empty();
      if (vm.mReducer && !vm.mIsPaused && !isAnswered) {
        const event::LookupArrived lookup{
          .mClientAddress = static_cast<std::uint32_t>(HashBytes(from)),
          .mAccount = AccountId(GetString(aArguments, "account"))
        };
        mLookupCaller = from;
        Deliver(vm, lookup);
      }
    }
  }
  // A caller tries the next VM when a connection is refused.
  for (const std::string& name : cached.mVms) {
    if (mVms.at(name).mReducer) {
      return mVms.at(name);
    }
  }
  return mVms.begin()->second;
}

void World::SendEdit(const YAML::Node& aArguments)
{
  Vm& vm = mVms.at(GetString(aArguments, "vm"));
  const std::string id = GetString(aArguments, "id");
  std::string document = vm.mReducer->GetConfiguration().Document();
  for (const auto& item : aArguments["set"]) {
    const auto edited = EditSetting(
      document, item.first.as<std::string>(), YAML::Dump(item.second));
    if (!edited) {
      throw std::runtime_error(edited.error().mMessage);
    }
    document = *edited;
  }
  const auto number = static_cast<AdminRequestId>(mNextRequest++);
  mRequestLabels[{ vm.mName, static_cast<RequestId>(mNextRequest - 1) }] = id;
  Deliver(
    vm,
    event::EditRequested{
      .mRequest = number,
      .mEdit = { .mOperation = OperationId(id),
                 .mOperator = "operator",
                 .mBase = vm.mReducer->GetConfiguration().Version().mRevision,
                 .mDocument = document } });
}

void World::SetBackend(const YAML::Node& aArguments)
{
  for (const std::string& name : GetStringList(aArguments["name"])) {
    Backend& backend = mBackends[name];
    const std::string mode = GetString(aArguments, "mode", "answers");
    backend.mIsDown = false;
    backend.mMode = mode == "hangs"     ? BackendMode::Hangs
                    : mode == "refuses" ? BackendMode::Refuses
                    : mode == "fails"   ? BackendMode::Fails
                    : mode == "sheds"   ? BackendMode::Sheds
                    : mode == "crashes" ? BackendMode::Crashes
                                        : BackendMode::Answers;
    if (aArguments["latency"]) {
      backend.mLatency = ReadDuration(aArguments["latency"]);
    }
    if (aArguments["says_healthy"]) {
      backend.mReportsHealthy = aArguments["says_healthy"].as<bool>();
    }
    if (aArguments["reported_rate"]) {
      backend.mReportedRate = aArguments["reported_rate"].as<double>();
    }
  }
}

void World::SetNetwork(const YAML::Node& aArguments)
{
  mDropProbability = aArguments["drop"] ? aArguments["drop"].as<double>() : 0;
  mDuplicateProbability =
    aArguments["duplicate"] ? aArguments["duplicate"].as<double>() : 0;
  mMaxJitter = aArguments["jitter"] ? ReadDuration(aArguments["jitter"])
                                    : Duration::zero();
}

void World::AddPartition(const YAML::Node& aArguments)
{
  const auto left = GetStringList(aArguments[0]);
  const auto right = GetStringList(aArguments[1]);
  for (const std::string& one : left) {
    for (const std::string& other : right) {
      mPartitions.insert({ one, other });
      mPartitions.insert({ other, one });
    }
  }
}

} // namespace cranberrywing::scenario
