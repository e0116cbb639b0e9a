#include "cranberrywing/kept_file.h"

#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

namespace cranberrywing::cli {

namespace {

constexpr std::string_view kMark = "# cranberrywing settings, revision ";

bool WriteAll(int aFile, std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t n = ::write(aFile, aText.data(), aText.size());
    if (n <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

} // namespace

Result<void> WriteNewFile(const std::string& aPath, std::string_view aText)
{
  const int file =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (file < 0) {
    return MakeError(ResultCode::InvalidArgument,
                     "cannot create " + aPath +
                       "; an existing file is not overwritten");
  }
  const bool isWritten = WriteAll(file, aText);
  const bool isClosed = ::close(file) == 0;
  if (!isWritten || !isClosed) {
    return MakeError(ResultCode::InvalidArgument, "cannot write " + aPath);
  }
  return {};
}

Result<std::string> SaveRecoveryFile(const std::string& aDirectory,
                                     const std::string& aName,
                                     std::string_view aText)
{
  std::string path = aDirectory + "/" + aName;
  if (WriteNewFile(path, aText)) {
    return path;
  }
  std::error_code ec;
  path = (std::filesystem::temp_directory_path(ec) / aName).string();
  const auto written = WriteNewFile(path, aText);
  if (!written) {
    return tl::unexpected(written.error());
  }
  return path;
}

std::string AddRevisionMark(std::string_view aDocument, Revision aRevision)
{
  std::string text(kMark);
  text += std::to_string(aRevision.mNumber);
  text += '\n';
  text += aDocument;
  return text;
}

MarkedDocument ParseRevisionMark(std::string_view aText)
{
  if (aText.starts_with(kMark)) {
    const char* const first = aText.data() + kMark.size();
    const char* const last = aText.data() + aText.size();
    Revision revision;
    const auto [end, error] = std::from_chars(first, last, revision.mNumber);
    if (error == std::errc() && end != last && *end == '\n') {
      return { std::string(end + 1, last), revision };
    }
  }
  return { std::string(aText), std::nullopt };
}

} // namespace cranberrywing::cli
