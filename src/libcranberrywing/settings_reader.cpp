#include "settings_reader.h"

#include <algorithm>
#include <sstream>
#include <unordered_set>
#include <yaml-cpp/eventhandler.h>

#include "cranberrywing/parse_number.h"
#include "cranberrywing/settings.h"

namespace cranberrywing::detail {

namespace {

constexpr std::size_t kMaxNameLength = 63;

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-';
}

std::string Show(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

/// Rejects aliases, since a few nested ones can expand to gigabytes.
class AliasCheck : public YAML::EventHandler
{
public:
  explicit AliasCheck(ErrorSink& aErrors)
    : mErrors(aErrors)
  {
  }

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t) override
  {
    mErrors.Report(aMark, "document", "aliases are not supported");
  }
  void OnScalar(const YAML::Mark&,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override
  {
  }
  void OnSequenceStart(const YAML::Mark&,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override
  {
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override
  {
  }
  void OnMapEnd() override {}

private:
  ErrorSink& mErrors;
};

/// Reports multiple documents, which YAML::Load ignores, and aliases, which it
/// expands without limit. Throws YAML::Exception if the text is not YAML.
void CheckStream(const std::string& aText, ErrorSink& aErrors)
{
  // Skips the additional parse if the text cannot contain either.
  const bool mayHaveAliases = aText.find('&') != std::string::npos;
  const bool mayHaveMore = aText.find("\n---") != std::string::npos ||
                           aText.find("\n...") != std::string::npos;
  if (!mayHaveAliases && !mayHaveMore) {
    return;
  }
  std::istringstream stream(aText);
  YAML::Parser parser(stream);
  AliasCheck check(aErrors);
  int documents = 0;
  while (parser.HandleNextDocument(check)) {
    ++documents;
  }
  if (documents > 1) {
    aErrors.Report(
      YAML::Mark::null_mark(), "document", "there is more than one document");
  }
}

} // namespace

void ErrorSink::Report(const YAML::Mark& aMark,
                       std::string_view aPath,
                       std::string_view aWhat)
{
  if (mError) {
    return;
  }
  std::string text(aPath);
  if (!aMark.is_null()) {
    text += " (line " + std::to_string(aMark.line + 1) + ")";
  }
  text += ": ";
  text += aWhat;
  mError = Error{ ResultCode::InvalidSettings, std::move(text) };
}

bool IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

std::string JoinPath(std::string_view aPath, std::string_view aName)
{
  std::string path(aPath);
  if (!path.empty()) {
    path += '/';
  }
  path += aName;
  return path;
}

void ValueReader::Report(std::string_view aWhat) const
{
  mErrors->Report(mMark, mPath, aWhat);
}

bool ValueReader::IsScalar(std::string_view aExpected) const
{
  if (mNode.IsScalar()) {
    return true;
  }
  Report("expected " + std::string(aExpected));
  return false;
}

void ValueReader::Text(std::string& aTarget) const
{
  if (IsScalar("a string")) {
    aTarget = mNode.Scalar();
  }
}

void ValueReader::Number(double& aTarget, Range<double> aRange) const
{
  if (!IsScalar("a number")) {
    return;
  }
  const auto value = ParseNumber<double>(mNode.Scalar());
  if (!value) {
    Report("expected a number, not '" + mNode.Scalar() + "'");
    return;
  }
  if (!(*value >= aRange.mMin && *value <= aRange.mMax)) {
    const std::string bounds =
      aRange.mMax == kMaxNumber
        ? "at least " + Show(aRange.mMin)
        : "from " + Show(aRange.mMin) + " to " + Show(aRange.mMax);
    Report("must be " + bounds + ", not " + mNode.Scalar());
    return;
  }
  aTarget = *value;
}

void ValueReader::Integer(std::uint64_t& aTarget,
                          Range<std::uint64_t> aRange) const
{
  if (!IsScalar("a whole number")) {
    return;
  }
  const auto value = ParseNumber<std::uint64_t>(mNode.Scalar());
  if (!value) {
    Report("expected a whole number, not '" + mNode.Scalar() + "'");
    return;
  }
  if (*value < aRange.mMin || *value > aRange.mMax) {
    Report("must be from " + std::to_string(aRange.mMin) + " to " +
           std::to_string(aRange.mMax) + ", not " + mNode.Scalar());
    return;
  }
  aTarget = *value;
}

void ValueReader::Flag(bool& aTarget) const
{
  if (!IsScalar("true or false")) {
    return;
  }
  const std::string& text = mNode.Scalar();
  if (text != "true" && text != "false") {
    Report("expected true or false, not '" + text + "'");
    return;
  }
  aTarget = text == "true";
}

void ValueReader::Time(Duration& aTarget, Range<Duration> aRange) const
{
  if (!IsScalar("a duration such as 250ms")) {
    return;
  }
  const Result<Duration> value = ParseDuration(mNode.Scalar());
  if (!value) {
    Report(value.error().mMessage);
    return;
  }
  if (*value < aRange.mMin || *value > aRange.mMax) {
    Report("must be from " + FormatDuration(aRange.mMin) + " to " +
           FormatDuration(aRange.mMax) + ", not " + mNode.Scalar());
    return;
  }
  aTarget = *value;
}

std::vector<ValueReader> ValueReader::Elements() const
{
  std::vector<ValueReader> elements;
  if (mNode.IsNull()) {
    return elements;
  }
  if (!mNode.IsSequence()) {
    Report("expected a list");
    return elements;
  }
  for (const YAML::Node& element : mNode) {
    const std::string path = JoinPath(mPath, std::to_string(elements.size()));
    const YAML::Mark mark = element.Mark().is_null() ? mMark : element.Mark();
    elements.emplace_back(element, path, mark, *mErrors);
  }
  return elements;
}

MapReader::MapReader(const ValueReader& aValue)
  : mSelf(aValue)
{
  if (mSelf.Node().IsNull()) {
    return;
  }
  if (!mSelf.Node().IsMap()) {
    mSelf.Report("expected a map");
    return;
  }
  std::unordered_set<std::string> names;
  for (const auto& pair : mSelf.Node()) {
    const YAML::Mark mark = pair.first.Mark();
    if (!pair.first.IsScalar()) {
      mSelf.Errors().Report(
        mark, mSelf.Path(), "a field's name must be a scalar");
      return;
    }
    const std::string& name = pair.first.Scalar();
    const std::string path = JoinPath(mSelf.Path(), name);
    if (!names.insert(name).second) {
      mSelf.Errors().Report(mark, path, "this name is given twice");
      return;
    }
    // Errors refer to the line of the key, where an operator looks first.
    mFieldEntries.push_back(
      { .mName = name,
        .mValue = { pair.second, path, mark, mSelf.Errors() },
        .mKeyMark = mark });
  }
}

std::optional<ValueReader> MapReader::Field(std::string_view aName)
{
  for (FieldEntry& field : mFieldEntries) {
    if (field.mName == aName) {
      field.mUsed = true;
      return field.mValue;
    }
  }
  return std::nullopt;
}

std::optional<ValueReader> MapReader::Required(std::string_view aName)
{
  auto value = Field(aName);
  if (!value) {
    mSelf.Report("the field '" + std::string(aName) + "' is missing");
  }
  return value;
}

void MapReader::Text(std::string_view aName, std::string& aTarget)
{
  if (const auto value = Field(aName)) {
    value->Text(aTarget);
  }
}

void MapReader::Number(std::string_view aName,
                       double& aTarget,
                       Range<double> aRange)
{
  if (const auto value = Field(aName)) {
    value->Number(aTarget, aRange);
  }
}

void MapReader::Flag(std::string_view aName, bool& aTarget)
{
  if (const auto value = Field(aName)) {
    value->Flag(aTarget);
  }
}

void MapReader::Time(std::string_view aName,
                     Duration& aTarget,
                     Range<Duration> aRange)
{
  if (const auto value = Field(aName)) {
    value->Time(aTarget, aRange);
  }
}

void MapReader::Name(std::string_view aName, std::string& aTarget)
{
  const auto value = Required(aName);
  if (!value) {
    return;
  }
  value->Text(aTarget);
  if (!IsName(aTarget)) {
    value->Report("'" + aTarget + "' is not a valid name");
  }
}

std::vector<MapReader::Entry> MapReader::Entries(bool aAllowAny)
{
  std::vector<Entry> entries;
  for (FieldEntry& field : mFieldEntries) {
    field.mUsed = true;
    if (!IsName(field.mName) && !(aAllowAny && field.mName == "*")) {
      field.mValue.Report(
        "a name must be 1 to 63 letters, digits, '.', '_' or '-'");
    }
    entries.push_back({ field.mName, field.mValue });
  }
  return entries;
}

void MapReader::Finish()
{
  for (const FieldEntry& field : mFieldEntries) {
    if (!field.mUsed) {
      field.mValue.Report("unknown field");
    }
  }
}

Result<YAML::Node> LoadDocument(std::string_view aDocument)
{
  ErrorSink errors;
  try {
    const std::string text(aDocument);
    CheckStream(text, errors);
    if (errors.HasError()) {
      return tl::unexpected<Error>(errors.First());
    }
    return YAML::Load(text);
  } catch (const YAML::Exception& e) {
    errors.Report(e.mark, "document", e.msg);
    return tl::unexpected<Error>(errors.First());
  }
}

} // namespace cranberrywing::detail
