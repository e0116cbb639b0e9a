/// \file
/// The variant of all messages between daemons and its cereal encoding. The
/// messages of each concern are defined in messages/<concern>.h.
#pragma once

#include <string>
#include <variant>

#include "cranberrywing/message_codec.h"
#include "cranberrywing/messages/configuration.h"
#include "cranberrywing/messages/execution.h"
#include "cranberrywing/messages/gateway.h"
#include "cranberrywing/messages/membership.h"
#include "cranberrywing/messages/offers.h"
#include "cranberrywing/messages/rates.h"
#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

/// New alternatives must be added at the end, since the index is the tag on the
/// wire.
using Message = std::variant<message::Probe,
                             message::ProbeAck,
                             message::ProbeRequest,
                             message::Leave,
                             message::ConfigurationOffer,
                             message::ConfigurationRequest,
                             message::ConfigurationBody,
                             message::TokenRequest,
                             message::TokenTransfer,
                             message::OfferAnnouncement,
                             message::ReservationRequest,
                             message::ReservationReply,
                             message::ForwardedRequest,
                             message::ForwardedAnswer,
                             message::ForwardedRefusal,
                             message::AnswerCopy,
                             message::AnswerCopyAck,
                             message::AnswerCopyQuery,
                             message::SlotHandover,
                             message::RequestBlock,
                             message::ShiftProgress,
                             message::GatewayStatus,
                             message::StoreQuery,
                             message::StoreBeaconWithoutEpoch,
                             message::StoreChangesWithoutEpoch,
                             message::RegionDemand,
                             message::BackendRateLimits,
                             message::StoreBeacon,
                             message::StoreChanges,
                             message::ServerReachStatus,
                             message::BackendsLeaving,
                             message::RegionServerLoads,
                             message::BoundDemands,
                             message::ObjectDemands,
                             message::ObjectPlacements>;

/// A message with its sender, as sent over the network.
struct Envelope
{
  VmIncarnation mFrom;
  Message mMessage;
};

/// Encodes an envelope in cereal's portable binary format, preceded by the
/// codec's authentication code over version, sender and message.
std::string EncodeEnvelope(const Envelope& aEnvelope,
                           const MessageCodec& aCodec);

/// Decodes the output of EncodeEnvelope. Never throws. Errors: Malformed for
/// bytes that are truncated, too long, not authentic, of another wire version
/// or otherwise undecodable. Authenticity is verified before anything is
/// decoded.
Result<Envelope> DecodeEnvelope(std::string_view aBytes,
                                const MessageCodec& aCodec);

} // namespace cranberrywing
