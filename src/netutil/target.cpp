#include "netutil/target.h"

#include <boost/url/parse.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/url_view.hpp>

namespace cranberrywing::netutil {

namespace urls = boost::urls;

namespace {

bool HasDotSegment(std::string_view aDecodedPath)
{
  std::size_t start = 0;
  while (start <= aDecodedPath.size()) {
    const std::size_t found = aDecodedPath.find_first_of("/\\", start);
    const std::size_t end =
      found == std::string_view::npos ? aDecodedPath.size() : found;
    const std::string_view segment = aDecodedPath.substr(start, end - start);
    if (segment == "." || segment == "..") {
      return true;
    }
    start = end + 1;
  }
  return false;
}

tl::unexpected<Error> InvalidTarget(std::string_view aReason)
{
  return MakeError(ResultCode::InvalidArgument,
                   "request target " + std::string(aReason));
}

/// Returns an absolute-form target from its path on; empty if it has neither
/// path nor query.
std::string_view PathFromAbsoluteForm(std::string_view aTarget)
{
  const std::size_t authority = aTarget.find("://");
  const std::size_t path = aTarget.find_first_of("/?", authority + 3);
  return path == std::string_view::npos ? std::string_view()
                                        : aTarget.substr(path);
}

} // namespace

const std::string* Target::Find(std::string_view aName) const
{
  for (const QueryParameter& parameter : mQuery) {
    if (parameter.mName == aName) {
      return &parameter.mValue;
    }
  }
  return nullptr;
}

Result<Target> ParseTarget(std::string_view aTarget)
{
  const auto parsed =
    urls::parse_origin_form({ aTarget.data(), aTarget.size() });
  if (!parsed) {
    return InvalidTarget(
      "is not in origin form (a path with an optional query)");
  }
  Target target;
  target.mPath = parsed->path();
  for (const auto& parameter : parsed->params()) {
    target.mQuery.push_back({ parameter.key, parameter.value });
  }
  return target;
}

Result<std::string> NormalizeTarget(std::string_view aTarget)
{
  std::string target(aTarget);
  if (aTarget.starts_with("http://") || aTarget.starts_with("https://")) {
    target = PathFromAbsoluteForm(aTarget);
    if (!target.starts_with('/')) {
      target.insert(0, "/");
    }
  }
  // Fast path: nothing to decode or check.
  if (target.find_first_of("%.\\#") == std::string::npos &&
      target.starts_with('/')) {
    return target;
  }
  const auto parsed = urls::parse_origin_form(target);
  if (!parsed) {
    return InvalidTarget(
      "is not in origin form (a path with an optional query)");
  }
  const std::string path = parsed->path();
  if (path.find('\0') != std::string::npos) {
    return InvalidTarget("contains a null byte");
  }
  if (HasDotSegment(path)) {
    return InvalidTarget("contains a \".\" or \"..\" segment");
  }
  return target;
}

} // namespace cranberrywing::netutil
