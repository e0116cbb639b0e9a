/// \file
/// What a gateway daemon needs to know of the formats that callers, backend
/// servers and the store speak. An adapter fills it in; the daemon knows no
/// field name of theirs.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/gateway/gateway.h"
#include "cranberrywing/gateway/store_follower.h"

namespace cranberrywing::daemon {

/// All functions are pure and are called from the event loop's thread.
struct GatewayDialect
{
  /// A caller's request. Takes the key and all fields that the gateway itself
  /// sets out of the content.
  std::function<gateway::event::RequestArrived(RequestContent&&)> mReadRequest;
  /// Fields that are added to the request for a backend server.
  std::function<std::vector<Header>(const gateway::effect::Dispatch&)>
    mBackendFields;
  /// Whether an answer is one to this request, and not a late one to an
  /// earlier request on the connection.
  std::function<bool(const RequestContent&, const AnswerContent&)> mIsAnswerTo;
  /// What a backend server's answer says. Sets all but the request, the
  /// attempt and the latency.
  std::function<gateway::event::BackendReplied(const RequestContent&,
                                               AnswerContent&&)>
    mReadAnswer;
  std::function<gateway::event::BackendProbed(const BackendId&,
                                              const AnswerContent&)>
    mReadProbe;
  std::function<AnswerContentPtr(const Refusal&)> mWriteRefusal;
  /// Answers the platform's own questions: readiness and which VMs to use.
  std::function<
    AnswerContentPtr(const RequestContent&, const gateway::Gateway&, TimePoint)>
    mAnswerQuestion;

  std::function<RequestContent(const gateway::StoreCall&)> mWriteStoreCall;
  std::function<gateway::StoreReply(const gateway::StoreCall&,
                                    const AnswerContent&)>
    mReadStoreReply;
  /// What a change of the store means; nothing for keys of others. Errors:
  /// Malformed, with the reason.
  std::function<Result<std::optional<gateway::Event>>(
    const gateway::StoreChange&)>
    mReadStoreChange;
  std::function<std::string(const VmId&)> mVmKey;
  std::function<std::string(const VmId&)> mRosterKey;
  std::function<std::string(const gateway::VmRecord&)> mWriteVmRecord;
  std::function<bool(const std::string&)> mIsPerishable;
};

} // namespace cranberrywing::daemon
