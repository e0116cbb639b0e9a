#include "cranberrywing/configuration_record.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace cranberrywing {

namespace {

/// Version of the record encoding, stored in the first byte.
constexpr std::uint8_t kRecordFormat = 1;

constexpr std::size_t kRevisionDigits = 20;

std::string Shorten(const std::string& aText)
{
  return aText.substr(0, kMaxSummaryBytes);
}

} // namespace

const AcceptedChange* ConfigurationRecord::FindChange(
  const OperationId& aOperation) const
{
  const auto it = std::find_if(
    mChanges.begin(), mChanges.end(), [&](const AcceptedChange& aChange) {
      return aChange.mOperation == aOperation;
    });
  return it == mChanges.end() ? nullptr : &*it;
}

std::string ConfigurationRootKey(std::string_view aPrefix)
{
  return std::string(aPrefix) + "configuration/root";
}

std::string ConfigurationHistoryKey(std::string_view aPrefix,
                                    Revision aRevision)
{
  const std::string digits = std::to_string(aRevision.mNumber);
  return std::string(aPrefix) + "configuration/history/" +
         std::string(kRevisionDigits - digits.size(), '0') + digits;
}

ConfigurationRecord MakeRecord(const ConfigurationRecord& aBefore,
                               const SettingsEdit& aEdit,
                               Revision aInForce,
                               std::size_t aHistoryLength)
{
  ConfigurationRecord record;
  const Revision before = std::max(aBefore.mVersion.mRevision, aInForce);
  record.mVersion.mRevision = Revision{ before.mNumber + 1 };
  record.mVersion.mDigest = DigestContent(aEdit.mDocument);
  record.mDocument = aEdit.mDocument;
  record.mChanges = aBefore.mChanges;
  record.mChanges.push_back({ .mOperation = aEdit.mOperation,
                              .mRevision = record.mVersion.mRevision,
                              .mOperator = Shorten(aEdit.mOperator),
                              .mSummary = Shorten(aEdit.mSummary) });
  if (record.mChanges.size() > aHistoryLength) {
    const auto excess = record.mChanges.size() - aHistoryLength;
    record.mChanges.erase(record.mChanges.begin(),
                          record.mChanges.begin() +
                            static_cast<std::ptrdiff_t>(excess));
  }
  return record;
}

ConfigurationRecord MakeHistoryRecord(const ConfigurationRecord& aRoot)
{
  ConfigurationRecord record = aRoot;
  if (record.mChanges.size() > 1) {
    record.mChanges.erase(record.mChanges.begin(), record.mChanges.end() - 1);
  }
  return record;
}

std::string EncodeRecord(const ConfigurationRecord& aRecord)
{
  std::ostringstream body;
  {
    cereal::PortableBinaryOutputArchive archive(body);
    archive(aRecord);
  }
  const std::string bytes = std::move(body).str();
  std::ostringstream head;
  {
    cereal::PortableBinaryOutputArchive archive(head);
    archive(kRecordFormat, DigestContent(bytes));
  }
  return std::move(head).str() + bytes;
}

Result<ConfigurationRecord> DecodeRecord(std::string_view aBytes)
{
  ConfigurationRecord record;
  try {
    std::istringstream stream{ std::string(aBytes) };
    cereal::PortableBinaryInputArchive archive(stream);
    std::uint8_t format = 0;
    ContentDigest digest;
    archive(format, digest);
    if (format != kRecordFormat) {
      return MakeError(ResultCode::Malformed,
                       "configuration record of format " +
                         std::to_string(format));
    }
    // Verified before decoding: a corrupt length field would make cereal
    // allocate that much memory.
    const auto begin = static_cast<std::size_t>(stream.tellg());
    if (DigestContent(aBytes.substr(begin)) != digest) {
      return MakeError(ResultCode::Malformed,
                       "configuration record: checksum mismatch");
    }
    cereal::PortableBinaryInputArchive body(stream);
    body(record);
  } catch (const std::exception& e) {
    return MakeError(ResultCode::Malformed,
                     std::string("configuration record: ") + e.what());
  }
  if (DigestContent(record.mDocument) != record.mVersion.mDigest) {
    return MakeError(
      ResultCode::Malformed,
      "configuration record: the document does not match its digest");
  }
  return record;
}

} // namespace cranberrywing
