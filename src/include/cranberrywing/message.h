/// \file
/// The variant of all messages between daemons and its cereal codec.
/// messages/<concern>.h hold the messages of each concern.
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

/// New alternatives go at the end: the index is the wire tag.
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
                             message::GatewayStatus>;

/// A message with its sender, as it goes over the wire.
struct Envelope
{
  VmIncarnation mFrom;
  Message mMessage;
};

/// Encodes an envelope in cereal's portable binary format, behind the codec's
/// authentication code over version, sender and message.
std::string EncodeEnvelope(const Envelope& aEnvelope,
                           const MessageCodec& aCodec);

/// Decodes what EncodeEnvelope made. Bytes that are cut, too many, not
/// authentic, of another version or otherwise unusable give Malformed and
/// never throw. Nothing is decoded before it is known to be authentic.
Result<Envelope> DecodeEnvelope(std::string_view aBytes,
                                const MessageCodec& aCodec);

} // namespace cranberrywing
