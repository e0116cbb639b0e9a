#include "cranberrywing/message.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "bounded_archive.h"

namespace cranberrywing {

namespace {

/// Must be incremented whenever the layout of any message changes. Version 2
/// moved the authentication code to the front.
constexpr std::uint16_t kWireVersion = 2;

} // namespace

std::string EncodeEnvelope(const Envelope& aEnvelope,
                           const MessageCodec& aCodec)
{
  std::ostringstream buf;
  {
    cereal::PortableBinaryOutputArchive archive(buf);
    archive(kWireVersion, aEnvelope.mFrom, aEnvelope.mMessage);
  }
  const std::string body = std::move(buf).str();
  return aCodec.Sign(body) + body;
}

Result<Envelope> DecodeEnvelope(std::string_view aBytes,
                                const MessageCodec& aCodec)
{
  const auto body = aCodec.Verify(aBytes);
  if (!body) {
    return tl::unexpected(body.error());
  }
  try {
    BoundedInputArchive archive(*body);
    std::uint16_t version = 0;
    archive(version);
    if (version != kWireVersion) {
      return MakeError(ResultCode::Malformed,
                       "message has wire version " + std::to_string(version) +
                         ", expected " + std::to_string(kWireVersion));
    }
    Envelope envelope;
    archive(envelope.mFrom, envelope.mMessage);
    if (archive.Remaining() > 0) {
      return MakeError(ResultCode::Malformed, "message has trailing bytes");
    }
    return envelope;
  } catch (const std::exception& e) {
    return MakeError(ResultCode::Malformed,
                     std::string("message cannot be decoded: ") + e.what());
  }
}

} // namespace cranberrywing
