#include "cranberrywing/message.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace cranberrywing {

namespace {

/// Raised whenever the layout of any message changes.
constexpr std::uint16_t kWireVersion = 1;

} // namespace

std::string EncodeEnvelope(const Envelope& aEnvelope)
{
  std::ostringstream buf;
  {
    cereal::PortableBinaryOutputArchive archive(buf);
    archive(kWireVersion, aEnvelope.mFrom, aEnvelope.mMessage);
  }
  return std::move(buf).str();
}

Result<Envelope> DecodeEnvelope(std::string_view aBytes)
{
  try {
    std::istringstream buf{ std::string(aBytes) };
    cereal::PortableBinaryInputArchive archive(buf);
    std::uint16_t version = 0;
    archive(version);
    if (version != kWireVersion) {
      return MakeError(ResultCode::Malformed,
                       "message has wire version " + std::to_string(version) +
                         ", expected " + std::to_string(kWireVersion));
    }
    Envelope envelope;
    archive(envelope.mFrom, envelope.mMessage);
    if (buf.peek() != std::istringstream::traits_type::eof()) {
      return MakeError(ResultCode::Malformed, "bytes after the message's end");
    }
    return envelope;
  } catch (const std::exception& e) {
    return MakeError(ResultCode::Malformed,
                     std::string("message cannot be decoded: ") + e.what());
  }
}

} // namespace cranberrywing
