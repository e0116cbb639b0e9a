/// \file
/// Interface between the gateway daemon and a platform adapter: conversion
/// between gateway types and the formats of callers, backend servers and the
/// store. The daemon itself knows none of the platform's field names.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cranberrywing/gateway/gateway.h"
#include "cranberrywing/gateway/store_follower.h"
#include "netutil/http_client.h"

namespace cranberrywing::daemon {

/// All functions are pure and are called on the event loop's thread. All must
/// be set.
struct GatewayDialect
{
  /// Decodes a caller's request. Removes the key and all header fields that the
  /// gateway sets itself from the content.
  std::function<gateway::event::RequestArrived(RequestContent&&)> mReadRequest;
  /// Header fields to add to the request for a backend server.
  std::function<std::vector<Header>(const gateway::effect::Dispatch&)>
    mBackendFields;
  /// Identifier that the answers to a request repeat; empty if they repeat
  /// none, as those to a health probe.
  std::function<std::string(const RequestContent&)> mAnswerId;
  /// Whether an answer belongs to this request or health probe, and not to an
  /// earlier request on the same connection.
  std::function<
    bool(const RequestContent&, const AnswerContent&, netutil::ConnectionUse)>
    mIsAnswerTo;
  /// Decodes the answer of the given server, or of another one at its address.
  /// Sets all members but the request, the attempt and the latency.
  std::function<gateway::event::BackendReplied(const RequestContent&,
                                               const BackendId&,
                                               AnswerContent&&)>
    mReadAnswer;
  /// Decodes the answer to a health probe. Sets all members but the lifetime.
  std::function<gateway::event::BackendProbed(const BackendId&,
                                              const AnswerContent&)>
    mReadProbe;
  /// Encodes the answer to a refused request.
  std::function<AnswerContentPtr(const Refusal&)> mWriteRefusal;
  /// Answers the platform's queries: readiness checks and lookups of VMs.
  std::function<
    AnswerContentPtr(const RequestContent&, const gateway::Gateway&, TimePoint)>
    mAnswerPlatformQuery;

  /// Encodes a store call.
  std::function<RequestContent(const gateway::StoreCall&)> mWriteStoreCall;
  /// Decodes the answer to a store call.
  std::function<gateway::StoreReply(const gateway::StoreCall&,
                                    const AnswerContent&)>
    mReadStoreReply;
  /// Decodes a change in the store; nullopt for keys that gateways do not use.
  /// Errors: Malformed or InvalidSettings, with the reason.
  std::function<Result<std::optional<gateway::Event>>(const StoreChange&)>
    mReadStoreChange;
  /// Store key of a VM's record, which is bound to a lease.
  std::function<std::string(const VmId&)> mVmKey;
  /// Store key of a VM's roster entry, which has no lease.
  std::function<std::string(const VmId&)> mRosterKey;
  /// Encodes a VM record for the store.
  std::function<std::string(const gateway::VmRecord&)> mWriteVmRecord;
  /// Whether a key's entry is bound to a lease, which may expire while the
  /// store is unavailable.
  std::function<bool(const std::string&)> mIsLeaseBound;
  /// Whether what is known of a key stays in force although the store holds an
  /// older state of it, after a restore from a copy or a write carried out
  /// late.
  std::function<bool(const std::string&)> mIsKept;
  /// Order that the writer of an item gives to its values; nullopt for keys
  /// without one and for values that cannot be read.
  std::function<std::optional<gateway::WriterVersion>(const StoreItem&)>
    mReadWriterVersion;
};

} // namespace cranberrywing::daemon
