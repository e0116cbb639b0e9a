/// \file
/// Test fixture: several Configuration objects that share a fake store.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cranberrywing/configuration.h"

namespace cranberrywing::testing {

enum class StoreMode
{
  Up,
  Down,
  /// The next write takes effect, but its reply is lost.
  LoseAnswer,
  /// The next write has no effect, and its reply is lost.
  LoseWrite,
};

/// A fake of the store's transactions on keys.
class FakeConfigurationStore
{
public:
  StoreReply Run(const StoreTxn& aTxn)
  {
    StoreReply reply;
    reply.mSucceeded =
      std::all_of(aTxn.mCompares.begin(),
                  aTxn.mCompares.end(),
                  [this](const StoreCompare& aCompare) {
                    const auto it = mEntries.find(aCompare.mKey);
                    const auto found =
                      it == mEntries.end() ? 0 : it->second.mModRevision;
                    return found == aCompare.mModRevision;
                  });
    if (reply.mSucceeded && !aTxn.mPuts.empty()) {
      ++mRevision;
      for (const StorePut& put : aTxn.mPuts) {
        mEntries[put.mKey] = { put.mKey, put.mValue, mRevision };
      }
      for (const StoreDelete& range : aTxn.mDeletes) {
        mEntries.erase(mEntries.lower_bound(range.mKey),
                       mEntries.lower_bound(range.mRangeEnd));
      }
    }
    for (const StoreRange& read : aTxn.mReads) {
      if (const auto it = mEntries.find(read.mKey); it != mEntries.end()) {
        reply.mEntries.push_back(it->second);
      }
    }
    reply.mStoreRevision = mRevision;
    return reply;
  }

  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 1;
  StoreMode mMode = StoreMode::Up;
};

struct ConfigurationVm
{
  std::unique_ptr<Configuration> mConfiguration;
  std::optional<StoreCallId> mWatch;
  std::vector<effect::AnswerEdit> mAnswers;
  std::set<std::string> mTimeline;
};

/// Simulates VMs, a store and the messages between them.
class ConfigurationFleet
{
public:
  explicit ConfigurationFleet(const std::vector<std::string>& aNames)
  {
    for (const std::string& name : aNames) {
      Add(name);
    }
  }

  void Add(const std::string& aName)
  {
    ConfigurationHooks hooks{
      .mIsWatcher = [this, aName] { return mWatchers.contains(aName); },
      .mPickPeers =
        [this, aName](std::size_t) {
          std::vector<VmId> peers;
          for (const auto& [name, vm] : mVms) {
            if (name != aName) {
              peers.emplace_back(name);
            }
          }
          return peers;
        },
      .mMemberCount = [this] { return mVms.size(); },
    };
    mVms[aName].mConfiguration = std::make_unique<Configuration>(
      Configuration::Options{ .mInitialDocument = {} }, std::move(hooks));
    EffectList out;
    mVms[aName].mConfiguration->Start(mNow, out);
    Queue(aName, out);
  }

  Configuration& At(const std::string& aName)
  {
    return *mVms.at(aName).mConfiguration;
  }

  void Edit(const std::string& aVm,
            const std::string& aOperation,
            std::uint64_t aBase,
            const std::string& aTimeout,
            bool aReplaces = false)
  {
    EffectList out;
    At(aVm).OnEdit({ AdminRequestId{ 1 },
                     { .mOperation = OperationId(aOperation),
                       .mOperator = "ama",
                       .mSummary = "test",
                       .mBase = { aBase },
                       .mDocument = Document(aTimeout),
                       .mReplacesRestoredStore = aReplaces } },
                   mNow,
                   out);
    Queue(aVm, out);
  }

  ResultCode EditNow(const std::string& aVm,
                     const std::string& aOperation,
                     std::uint64_t aBase,
                     const std::string& aTimeout,
                     bool aReplaces = false)
  {
    Edit(aVm, aOperation, aBase, aTimeout, aReplaces);
    Deliver();
    Run(std::chrono::seconds(12));
    return mVms.at(aVm).mAnswers.back().mCode;
  }

  static std::string Document(const std::string& aTimeout)
  {
    std::string text = "format: 1\n";
    for (int n = 0; n < 50; ++n) {
      text += "# line " + std::to_string(n) + "\n";
    }
    return text + "root:\n  timeout: " + aTimeout + "\n  max_attempts: 2\n";
  }

  /// Reports a VM's version to another VM, as gossip does.
  void Gossip(const std::string& aFrom, const std::string& aTo)
  {
    EffectList out;
    At(aTo).OnPeerVersion(VmId(aFrom), At(aFrom).Version(), mNow, out);
    Queue(aTo, out);
    Deliver();
  }

  void Deliver()
  {
    while (!mQueue.empty()) {
      const auto [vm, effect] = std::move(mQueue.front());
      mQueue.pop_front();
      EffectList out;
      Execute(vm, effect, out);
      Queue(vm, out);
    }
  }

  /// Sends changed entries to all watchers, or a progress notification if there
  /// are none.
  void FireWatches(const std::vector<StoreEntry>& aEntries)
  {
    for (auto& [name, vm] : mVms) {
      if (vm.mWatch && mStore.mMode == StoreMode::Up) {
        EffectList out;
        vm.mConfiguration->OnWatch(
          { *vm.mWatch, aEntries, mStore.mRevision }, mNow, out);
        Queue(name, out);
      }
    }
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      mNow += Milliseconds(50);
      for (auto& [name, vm] : mVms) {
        EffectList out;
        vm.mConfiguration->Tick(mNow, out);
        Queue(name, out);
      }
      Deliver();
    }
  }

  FakeConfigurationStore mStore;
  std::set<std::string> mWatchers;
  std::map<std::string, ConfigurationVm> mVms;
  bool mDamageDeltas = false;
  bool mPeersConnected = true;
  int mCalls = 0;
  /// Called when a write is lost in StoreMode::LoseWrite.
  std::function<void()> mOnLostWrite;
  int mFullBodies = 0;
  int mDeltas = 0;
  TimePoint mNow{ std::chrono::seconds(1) };

private:
  void Queue(const std::string& aVm, EffectList& aEffects)
  {
    for (Effect& effect : aEffects) {
      mQueue.emplace_back(aVm, std::move(effect));
    }
  }

  void Execute(const std::string& aVm, const Effect& aEffect, EffectList& aOut)
  {
    ConfigurationVm& vm = mVms.at(aVm);
    if (const auto* call = std::get_if<effect::CallStore>(&aEffect)) {
      vm.mConfiguration->OnStoreReply(
        { call->mCall, Call(*call->mRequest.mTxn) }, mNow, aOut);
    } else if (const auto* send = std::get_if<effect::SendMessage>(&aEffect)) {
      if (mPeersConnected) {
        Send(aVm, *send);
      }
    } else if (const auto* answer = std::get_if<effect::AnswerEdit>(&aEffect)) {
      vm.mAnswers.push_back(*answer);
    } else if (const auto* watch = std::get_if<effect::WatchStore>(&aEffect)) {
      vm.mWatch = watch->mWatch;
    } else if (std::holds_alternative<effect::CancelWatch>(aEffect)) {
      vm.mWatch.reset();
    } else if (const auto* entry =
                 std::get_if<effect::RecordTimeline>(&aEffect)) {
      vm.mTimeline.insert(entry->mName);
    }
  }

  Result<StoreReply> Call(const StoreTxn& aTxn)
  {
    ++mCalls;
    const bool isWrite = !aTxn.mPuts.empty();
    const StoreMode mode = mStore.mMode;
    if (mode == StoreMode::Down) {
      return MakeError(ResultCode::StoreUnavailable, "down");
    }
    if (isWrite && mode != StoreMode::Up) {
      mStore.mMode = StoreMode::Up;
      if (mode == StoreMode::LoseAnswer) {
        mStore.Run(aTxn);
      } else if (mOnLostWrite) {
        mOnLostWrite();
      }
      return MakeError(ResultCode::OutcomeUnknown, "answer lost");
    }
    const StoreReply reply = mStore.Run(aTxn);
    if (isWrite && reply.mSucceeded) {
      FireWatches({ mStore.mEntries.at(aTxn.mPuts.front().mKey) });
    }
    return reply;
  }

  void Send(const std::string& aFrom, const effect::SendMessage& aSend)
  {
    EffectList out;
    const std::string& to = aSend.mTo.mName;
    Configuration& receiver = At(to);
    if (const auto* offer =
          std::get_if<message::ConfigurationOffer>(&aSend.mMessage)) {
      receiver.OnPeerVersion(VmId(aFrom), offer->mVersion, mNow, out);
    } else if (const auto* request =
                 std::get_if<message::ConfigurationRequest>(&aSend.mMessage)) {
      receiver.OnMessage(VmId(aFrom), *request, mNow, out);
    } else {
      auto body = std::get<message::ConfigurationBody>(aSend.mMessage);
      ++(body.mEdits.empty() ? mFullBodies : mDeltas);
      if (mDamageDeltas && !body.mEdits.empty()) {
        body.mEdits.front().mAddedLines = { "  timeout: 1ms" };
      }
      receiver.OnMessage(VmId(aFrom), body, mNow, out);
    }
    Queue(to, out);
  }

  std::deque<std::pair<std::string, Effect>> mQueue;
};

} // namespace cranberrywing::testing
