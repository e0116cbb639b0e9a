/// \file
/// Validating readers for the YAML of a settings document. They report the
/// first error with its path and line. Internal to the settings sources.
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

/// Collects the first error of a document.
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

/// Inclusive bounds of a number.
template<class Value>
struct Range
{
  Value mMin;
  Value mMax;
};

inline constexpr double kMaxNumber = std::numeric_limits<double>::max();

/// A value of the document with its path and position.
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

  /// Each of these reports an error and leaves the target unchanged if the
  /// value is invalid.
  void Text(std::string& aTarget) const;
  void Number(double& aTarget, Range<double> aRange) const;
  void Integer(std::uint64_t& aTarget, Range<std::uint64_t> aRange) const;
  void Flag(bool& aTarget) const;
  void Time(Duration& aTarget, Range<Duration> aRange) const;
  /// Returns the elements of a sequence.
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

/// The fields of a map. Finish reports the fields that were never read.
class MapReader
{
public:
  /// Reports an error unless the value is a map without duplicate names. Null
  /// stands for an empty map.
  explicit MapReader(const ValueReader& aValue);

  const ValueReader& Self() const { return mSelf; }

  /// Returns the field's value, or nullopt if it is absent.
  std::optional<ValueReader> Field(std::string_view aName);
  /// Like Field, but reports an error if the field is absent.
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

  /// Reads a required field whose value must be a valid name.
  void Name(std::string_view aName, std::string& aTarget);

  /// Returns all entries of a map that is keyed by name, and validates the
  /// names. With aAllowAny, "*" is a valid name too.
  struct Entry
  {
    std::string mName;
    ValueReader mValue;
  };
  std::vector<Entry> Entries(bool aAllowAny = false);

  void Finish();

private:
  struct FieldEntry
  {
    std::string mName;
    ValueReader mValue;
    YAML::Mark mKeyMark;
    bool mUsed = false;
  };

  ValueReader mSelf;
  std::vector<FieldEntry> mFieldEntries;
};

/// Whether a text is a valid name: 1 to 63 letters, digits, '.', '_' or '-'.
bool IsName(std::string_view aText);

/// Appends a name to a path.
std::string JoinPath(std::string_view aPath, std::string_view aName);

/// Loads one YAML document. Errors: InvalidSettings with the line.
Result<YAML::Node> LoadDocument(std::string_view aDocument);

} // namespace cranberrywing::detail
