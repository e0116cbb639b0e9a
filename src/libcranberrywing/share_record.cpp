#include "cranberrywing/share_record.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "bounded_archive.h"

namespace cranberrywing {

namespace {

/// Version of the layout; incremented with each change of it.
constexpr std::uint16_t kRecordVersion = 1;

} // namespace

const ShareEntry* ShareRecord::Find(const VmIncarnation& aHolder) const
{
  const auto it = std::find_if(
    mEntries.begin(), mEntries.end(), [&](const ShareEntry& aEntry) {
      return aEntry.mHolder == aHolder;
    });
  return it == mEntries.end() ? nullptr : &*it;
}

ShareEntry* ShareRecord::Find(const VmIncarnation& aHolder)
{
  return const_cast<ShareEntry*>(std::as_const(*this).Find(aHolder));
}

std::uint64_t ShareRecord::Sum() const
{
  std::uint64_t sum = 0;
  for (const ShareEntry& entry : mEntries) {
    sum += entry.mFraction;
  }
  return sum;
}

std::uint32_t ShareRecord::Free() const
{
  const std::uint64_t sum = Sum();
  return sum >= kWholeShare ? 0 : static_cast<std::uint32_t>(kWholeShare - sum);
}

std::string EncodeShareRecord(const ShareRecord& aRecord)
{
  std::ostringstream buf;
  {
    cereal::PortableBinaryOutputArchive archive(buf);
    archive(kRecordVersion, aRecord);
  }
  return std::move(buf).str();
}

Result<ShareRecord> DecodeShareRecord(std::string_view aBytes)
{
  ShareRecord record;
  try {
    BoundedInputArchive archive(aBytes);
    std::uint16_t version = 0;
    archive(version);
    if (version != kRecordVersion) {
      return MakeError(ResultCode::Malformed,
                       "share record has version " + std::to_string(version) +
                         ", expected " + std::to_string(kRecordVersion));
    }
    archive(record);
    if (archive.Remaining() > 0) {
      return MakeError(ResultCode::Malformed,
                       "share record has trailing bytes");
    }
  } catch (const std::exception& e) {
    return MakeError(ResultCode::Malformed,
                     std::string("share record cannot be decoded: ") +
                       e.what());
  }
  if (record.Sum() > kWholeShare) {
    return MakeError(
      ResultCode::Malformed,
      "fractions of a share record add up to more than the whole");
  }
  for (const ShareEntry& entry : record.mEntries) {
    if (record.Find(entry.mHolder) != &entry) {
      return MakeError(ResultCode::Malformed,
                       "share record names " + entry.mHolder.mVm.mName +
                         " twice");
    }
  }
  return record;
}

} // namespace cranberrywing
