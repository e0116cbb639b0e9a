#include "cranberrywingd/timeline.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <glog/logging.h>

namespace cranberrywing::daemon {

namespace {

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         std::any_of(aValue.begin(), aValue.end(), [](unsigned char aByte) {
           return aByte <= ' ' || aByte == '"' || aByte == '=' ||
                  aByte == '\\' || aByte == 0x7f;
         });
}

void AppendValue(std::string& aLine, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char character : aValue) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < ' ' || byte == 0x7f) {
      std::array<char, 8> text{};
      std::snprintf(text.data(), text.size(), "\\x%02x", byte);
      aLine += text.data();
      continue;
    }
    if (character == '"' || character == '\\') {
      aLine += '\\';
    }
    aLine += character;
  }
  aLine += '"';
}

} // namespace

std::string FormatLogLine(const effect::RecordTimeline& aRecord)
{
  std::string line = "event=" + aRecord.mName;
  for (const effect::Field& field : aRecord.mFields) {
    line += ' ';
    line += field.mName;
    line += '=';
    AppendValue(line, field.mValue);
  }
  return line;
}

Timeline::Timeline(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

void Timeline::Record(effect::RecordTimeline aRecord, std::int64_t aWallMs)
{
  LOG(INFO) << FormatLogLine(aRecord);
  mEntries.push_back({ mNextNumber++, aWallMs, std::move(aRecord) });
  if (mEntries.size() > mCapacity) {
    mEntries.pop_front();
  }
}

std::vector<TimelineEntry> Timeline::Since(std::uint64_t aNumber) const
{
  const auto first =
    std::lower_bound(mEntries.begin(),
                     mEntries.end(),
                     aNumber,
                     [](const TimelineEntry& aEntry, std::uint64_t aWanted) {
                       return aEntry.mNumber < aWanted;
                     });
  return { first, mEntries.end() };
}

} // namespace cranberrywing::daemon
