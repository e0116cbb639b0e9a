#include "configuration_delta.h"

#include <algorithm>
#include <optional>

namespace cranberrywing::detail {

namespace {

using Lines = std::vector<std::string_view>;

/// Maximum edit distance in added plus removed lines. The search takes time and
/// memory quadratic in it. Above it, a single edit replaces everything between
/// the first and the last change.
constexpr int kMaxDistance = 256;

/// Encoded size of an edit and of a line without the line's text, in bytes.
constexpr std::size_t kEditOverhead = 16;
constexpr std::size_t kLineOverhead = 8;

/// Splits at '\n', so that joining the parts restores the text exactly.
Lines SplitLines(std::string_view aText)
{
  Lines lines;
  std::size_t begin = 0;
  for (;;) {
    const std::size_t end = aText.find('\n', begin);
    if (end == std::string_view::npos) {
      lines.push_back(aText.substr(begin));
      return lines;
    }
    lines.push_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
}

/// A range of lines that differs.
struct Hunk
{
  int mBeforeFirst = 0;
  int mBeforeCount = 0;
  int mAfterFirst = 0;
  int mAfterCount = 0;
};

/// Myers' greedy algorithm for the shortest edit script ("An O(ND) Difference
/// Algorithm and Its Variations", 1986), up to kMaxDistance.
class ShortestEdits
{
public:
  ShortestEdits(const Lines& aBefore, const Lines& aAfter)
    : mBefore(aBefore)
    , mAfter(aAfter)
  {
  }

  /// Returns the hunks in line order, or nullopt if the distance is above
  /// kMaxDistance.
  std::optional<std::vector<Hunk>> Find()
  {
    const int before = static_cast<int>(mBefore.size());
    const int after = static_cast<int>(mAfter.size());
    const int limit = std::min(before + after, kMaxDistance);
    std::vector<int> reach(2 * kMaxDistance + 3, 0);
    for (int distance = 0; distance <= limit; ++distance) {
      mTrace.push_back(reach);
      for (int k = -distance; k <= distance; k += 2) {
        const int x = Extend(reach, distance, k);
        reach[Index(k)] = x;
        if (x >= before && x - k >= after) {
          return Trace(distance);
        }
      }
    }
    return std::nullopt;
  }

private:
  static std::size_t Index(int aDiagonal)
  {
    return static_cast<std::size_t>(aDiagonal + kMaxDistance + 1);
  }

  /// Whether the furthest-reaching path enters the diagonal by adding a line.
  static bool IsAddition(const std::vector<int>& aReach, int aDistance, int aK)
  {
    return aK == -aDistance ||
           (aK != aDistance && aReach[Index(aK - 1)] < aReach[Index(aK + 1)]);
  }

  int Extend(const std::vector<int>& aReach, int aDistance, int aK) const
  {
    int x = 0;
    if (aDistance > 0) {
      x = IsAddition(aReach, aDistance, aK) ? aReach[Index(aK + 1)]
                                            : aReach[Index(aK - 1)] + 1;
    }
    const int before = static_cast<int>(mBefore.size());
    const int after = static_cast<int>(mAfter.size());
    // Paths may leave the grid but are not extended outside it.
    while (x < before && x - aK < after && x - aK >= 0 &&
           mBefore[static_cast<std::size_t>(x)] ==
             mAfter[static_cast<std::size_t>(x - aK)]) {
      ++x;
    }
    return x;
  }

  std::vector<Hunk> Trace(int aDistance) const
  {
    std::vector<Hunk> hunks;
    int x = static_cast<int>(mBefore.size());
    int y = static_cast<int>(mAfter.size());
    for (int distance = aDistance; distance > 0; --distance) {
      const std::vector<int>& reach =
        mTrace[static_cast<std::size_t>(distance)];
      const int k = x - y;
      const bool added = IsAddition(reach, distance, k);
      const int previousK = added ? k + 1 : k - 1;
      x = reach[Index(previousK)];
      y = x - previousK;
      hunks.push_back({ x, added ? 0 : 1, y, added ? 1 : 0 });
    }
    std::reverse(hunks.begin(), hunks.end());
    return Merge(hunks);
  }

  static std::vector<Hunk> Merge(const std::vector<Hunk>& aHunks)
  {
    std::vector<Hunk> merged;
    for (const Hunk& hunk : aHunks) {
      if (!merged.empty()) {
        Hunk& last = merged.back();
        if (last.mBeforeFirst + last.mBeforeCount == hunk.mBeforeFirst &&
            last.mAfterFirst + last.mAfterCount == hunk.mAfterFirst) {
          last.mBeforeCount += hunk.mBeforeCount;
          last.mAfterCount += hunk.mAfterCount;
          continue;
        }
      }
      merged.push_back(hunk);
    }
    return merged;
  }

  const Lines& mBefore;
  const Lines& mAfter;
  std::vector<std::vector<int>> mTrace;
};

std::size_t CommonPrefix(const Lines& aLeft, const Lines& aRight)
{
  const std::size_t limit = std::min(aLeft.size(), aRight.size());
  std::size_t n = 0;
  while (n < limit && aLeft[n] == aRight[n]) {
    ++n;
  }
  return n;
}

std::size_t CommonSuffix(const Lines& aLeft,
                         const Lines& aRight,
                         std::size_t aPrefix)
{
  const std::size_t limit = std::min(aLeft.size(), aRight.size()) - aPrefix;
  std::size_t n = 0;
  while (n < limit &&
         aLeft[aLeft.size() - 1 - n] == aRight[aRight.size() - 1 - n]) {
    ++n;
  }
  return n;
}

Lines Middle(const Lines& aLines, std::size_t aPrefix, std::size_t aSuffix)
{
  return { aLines.begin() + static_cast<std::ptrdiff_t>(aPrefix),
           aLines.end() - static_cast<std::ptrdiff_t>(aSuffix) };
}

} // namespace

std::vector<LineEdit> MakeLineEdits(std::string_view aBefore,
                                    std::string_view aAfter)
{
  const Lines before = SplitLines(aBefore);
  const Lines after = SplitLines(aAfter);
  const std::size_t prefix = CommonPrefix(before, after);
  const std::size_t suffix = CommonSuffix(before, after, prefix);
  const Lines oldLines = Middle(before, prefix, suffix);
  const Lines newLines = Middle(after, prefix, suffix);
  const Hunk replaceAll{ .mBeforeCount = static_cast<int>(oldLines.size()),
                         .mAfterCount = static_cast<int>(newLines.size()) };
  const auto found = ShortestEdits(oldLines, newLines).Find();
  const std::vector<Hunk> hunks =
    found ? *found : std::vector<Hunk>{ replaceAll };

  std::vector<LineEdit> edits;
  for (const Hunk& hunk : hunks) {
    LineEdit edit;
    edit.mFirstLine = static_cast<std::uint32_t>(prefix) +
                      static_cast<std::uint32_t>(hunk.mBeforeFirst);
    edit.mRemovedLines = static_cast<std::uint32_t>(hunk.mBeforeCount);
    const auto first = newLines.begin() + hunk.mAfterFirst;
    edit.mAddedLines.assign(first, first + hunk.mAfterCount);
    edits.push_back(std::move(edit));
  }
  return edits;
}

Result<std::string> ApplyLineEdits(std::string_view aBefore,
                                   const std::vector<LineEdit>& aEdits)
{
  const Lines before = SplitLines(aBefore);
  Lines after;
  std::size_t next = 0;
  const auto copyUntil = [&](std::size_t aEnd) {
    after.insert(after.end(),
                 before.begin() + static_cast<std::ptrdiff_t>(next),
                 before.begin() + static_cast<std::ptrdiff_t>(aEnd));
  };
  for (const LineEdit& edit : aEdits) {
    const std::size_t first = edit.mFirstLine;
    const std::size_t end = first + edit.mRemovedLines;
    if (first < next || end > before.size()) {
      return MakeError(ResultCode::Malformed,
                       "the line edits do not fit the document");
    }
    copyUntil(first);
    after.insert(after.end(), edit.mAddedLines.begin(), edit.mAddedLines.end());
    next = end;
  }
  copyUntil(before.size());

  std::string text;
  for (std::size_t n = 0; n < after.size(); ++n) {
    if (n > 0) {
      text += '\n';
    }
    text += after[n];
  }
  return text;
}

std::size_t EstimatedSize(const std::vector<LineEdit>& aEdits)
{
  std::size_t size = 0;
  for (const LineEdit& edit : aEdits) {
    size += kEditOverhead;
    for (const std::string& line : edit.mAddedLines) {
      size += line.size() + kLineOverhead;
    }
  }
  return size;
}

} // namespace cranberrywing::detail
