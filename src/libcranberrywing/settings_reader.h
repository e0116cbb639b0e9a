/// \file
/// Checked reading of a settings document's YAML, with the first error's path
/// and line. Internal to the settings sources.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

#include "cranberrywing/result_code.h"
#include "cranberrywing/types.h"

namespace cranberrywing::detail {

/// Keeps the first error of a document.
class ErrorSink
{
public:
  void Report(const YAML::Mark& aMark,
              std::string_view aPath,
              std::string_view aWhat);
  bool HasError() const { return mError.has_value(); }
  const Error& First() const { return *mError; }

private:
  std::optional<Error> mError;
};

/// Bounds of a number, both included.
template<class Value>
struct Range
{
  Value mLow;
  Value mHigh;
};

inline constexpr double kAnyNumber = std::numeric_limits<double>::max();

/// A value of the document with its place.
class ValueReader
{
public:
  ValueReader(YAML::Node aNode,
              std::string aPath,
              YAML::Mark aMark,
              ErrorSink& aErrors)
    : mNode(std::move(aNode))
    , mPath(std::move(aPath))
    , mMark(aMark)
    , mErrors(&aErrors)
  {
  }

  const std::string& Path() const { return mPath; }
  const YAML::Mark& Mark() const { return mMark; }
  void Report(std::string_view aWhat) const;

  /// Each reports an error and leaves the target if the value is unusable.
  void Text(std::string& aTarget) const;
  void Number(double& aTarget, Range<double> aRange) const;
  void Integer(std::uint64_t& aTarget, Range<std::uint64_t> aRange) const;
  void Flag(bool& aTarget) const;
  void Time(Duration& aTarget, Range<Duration> aRange) const;
  /// Elements of a sequence.
  std::vector<ValueReader> Elements() const;

  const YAML::Node& Node() const { return mNode; }
  ErrorSink& Errors() const { return *mErrors; }

private:
  bool IsScalar(std::string_view aExpected) const;

  YAML::Node mNode;
  std::string mPath;
  YAML::Mark mMark;
  ErrorSink* mErrors;
};

/// The fields of a map. Finish reports fields that were not asked for.
class MapReader
{
public:
  /// Reports an error unless the value is a map, or null for an empty one,
  /// without doubled names.
  explicit MapReader(const ValueReader& aValue);

  const ValueReader& Self() const { return mSelf; }

  /// The field's value, or nullopt if it is not given.
  std::optional<ValueReader> Field(std::string_view aName);
  /// As Field, but reports an error if it is not given.
  std::optional<ValueReader> Required(std::string_view aName);

  void Text(std::string_view aName, std::string& aTarget);
  void Number(std::string_view aName, double& aTarget, Range<double> aRange);
  void Flag(std::string_view aName, bool& aTarget);
  void Time(std::string_view aName, Duration& aTarget, Range<Duration> aRange);

  template<class Whole>
  void Integer(std::string_view aName,
               Whole& aTarget,
               Range<std::uint64_t> aRange)
  {
    if (const auto value = Field(aName)) {
      std::uint64_t number = aTarget;
      value->Integer(number, aRange);
      aTarget = static_cast<Whole>(number);
    }
  }

  /// A name that is required and has the form of a name.
  void Name(std::string_view aName, std::string& aTarget);

  /// All entries with checked names, for maps keyed by name.
  struct Entry
  {
    std::string mName;
    ValueReader mValue;
  };
  std::vector<Entry> Entries(bool aAllowAny = false);

  void Finish();

private:
  struct Slot
  {
    std::string mName;
    ValueReader mValue;
    YAML::Mark mKeyMark;
    bool mUsed = false;
  };

  ValueReader mSelf;
  std::vector<Slot> mSlots;
};

/// Whether a text is a name: letters, digits, '.', '_' and '-', up to 63.
bool IsName(std::string_view aText);

/// A path with one more name.
std::string JoinPath(std::string_view aPath, std::string_view aName);

/// Loads one YAML document. Errors: InvalidSettings with the line.
Result<YAML::Node> LoadDocument(std::string_view aDocument);

} // namespace cranberrywing::detail
