// Copying of answers to another failure domain, and their recovery after a
// takeover.
#include <algorithm>

#include "cranberrywing/executions.h"

namespace cranberrywing {

namespace {

/// AnswerCopy::mNumber of copies sent in reply to a query. They are not
/// acknowledged.
constexpr std::uint64_t kUnnumbered = 0;
/// Maximum number of peers queried for copies of one slot, in descending order
/// of CopyHolderWeight. The previous owner's copy holder is the first of them
/// outside its failure domain, and earlier holders rank close to it. Querying
/// all peers of a large fleet would open a connection to each VM.
constexpr std::size_t kMaxQueriedPeers = 12;

} // namespace

std::optional<VmId> Executions::CopyTarget(const Active& aActive) const
{
  const std::optional<SlotOwner> owner = mSlots.Owner(aActive.mSlot);
  const bool hasMoved = !mOwned.contains(aActive.mSlot) && owner &&
                        owner->mProcess.mVm != mOptions.mSelf.mVm;
  if (hasMoved) {
    // The new owner receives the repeats, so it needs the answer.
    return owner->mProcess.mVm;
  }
  return mHooks.mCopyHolder(aActive.mSlot);
}

void Executions::SendCopy(const ExecutionId& aExecution,
                          Active& aActive,
                          TimePoint aNow,
                          EffectList& aOut)
{
  const std::optional<VmId> target = CopyTarget(aActive);
  if (!target) {
    DeliverAnswer(aExecution);
    return;
  }
  aActive.mCopyNumber = mNextCopy++;
  aActive.mCopyDeadline = aNow + mOptions.mCopyAckTimeout;
  mPendingCopies[aActive.mCopyNumber] = aExecution;
  aOut.push_back(effect::SendMessage{
    .mTo = *target,
    .mAddress = "",
    .mPort = 0,
    .mTransport = effect::Transport::Stream,
    .mMessage = message::AnswerCopy{
      .mNumber = aActive.mCopyNumber,
      .mAnswer = { aExecution, aActive.mSlot, *aActive.mAnswer } } });
}

void Executions::ExpireCopies(TimePoint aNow)
{
  std::vector<ExecutionId> late;
  for (const auto& [number, execution] : mPendingCopies) {
    if (mActive.at(execution).mCopyDeadline <= aNow) {
      late.push_back(execution);
    }
  }
  for (const ExecutionId& execution : late) {
    ++mCounters.mCopyTimeouts;
    DeliverAnswer(execution);
  }
}

void Executions::QueryCopies(std::uint32_t aSlot, EffectList& aOut) const
{
  std::vector<VmId> peers = mHooks.mPeers();
  std::sort(peers.begin(), peers.end(), [&](const VmId& aA, const VmId& aB) {
    return CopyHolderWeight(aSlot, aA) > CopyHolderWeight(aSlot, aB);
  });
  peers.resize(std::min(peers.size(), kMaxQueriedPeers));
  for (const VmId& peer : peers) {
    aOut.push_back(effect::SendMessage{
      .mTo = peer,
      .mAddress = "",
      .mPort = 0,
      .mTransport = effect::Transport::Stream,
      .mMessage = message::AnswerCopyQuery{ .mSlot = aSlot } });
  }
}

void Executions::OnMessage(const VmIncarnation& aFrom,
                           const message::AnswerCopy& aMessage,
                           TimePoint aNow,
                           EffectList& aOut)
{
  const StoredAnswer& stored = aMessage.mAnswer;
  mAnswers.Put(stored.mSlot,
               stored.mExecution,
               std::make_shared<const AnswerContent>(stored.mAnswer),
               aNow);
  if (aMessage.mNumber != kUnnumbered) {
    aOut.push_back(effect::SendMessage{
      .mTo = aFrom.mVm,
      .mAddress = "",
      .mPort = 0,
      .mTransport = effect::Transport::Stream,
      .mMessage = message::AnswerCopyAck{ .mNumber = aMessage.mNumber } });
  }
}

void Executions::OnMessage(const VmIncarnation&,
                           const message::AnswerCopyAck& aMessage,
                           TimePoint,
                           EffectList&)
{
  const auto it = mPendingCopies.find(aMessage.mNumber);
  if (it != mPendingCopies.end()) {
    ++mCounters.mCopiesAcknowledged;
    DeliverAnswer(ExecutionId(it->second));
  }
}

void Executions::OnMessage(const VmIncarnation& aFrom,
                           const message::AnswerCopyQuery& aMessage,
                           TimePoint,
                           EffectList& aOut)
{
  for (const ExecutionId& execution : mAnswers.FindBySlot(aMessage.mSlot)) {
    aOut.push_back(effect::SendMessage{
      .mTo = aFrom.mVm,
      .mAddress = "",
      .mPort = 0,
      .mTransport = effect::Transport::Stream,
      .mMessage = message::AnswerCopy{
        .mNumber = kUnnumbered,
        .mAnswer = {
          execution, aMessage.mSlot, *mAnswers.Find(execution) } } });
  }
}

} // namespace cranberrywing
