#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iomanip>
#include <iostream>
#include <sys/resource.h>

#include "cranberrywing/settings.h"
#include "cranberrywingd/daemon.h"
#include "netutil/program.h"

using namespace cranberrywing;

namespace {

constexpr std::string_view kProgram = "cranberrywingd";

/// Reads the boot settings from the file and the command line. Command-line
/// values take precedence.
Result<daemon::BootSettings> ReadBootSettings(
  const cxxopts::ParseResult& aParsed)
{
  daemon::BootSettings boot;
  if (aParsed.count("config") > 0) {
    const auto path = aParsed["config"].as<std::string>();
    const auto text = netutil::ReadFile(path);
    if (!text) {
      return tl::unexpected(text.error());
    }
    const auto read = daemon::ReadBootFile(*text, boot);
    if (!read) {
      return MakeError(read.error().mCode, path + ": " + read.error().mMessage);
    }
  }
  for (const daemon::BootField& field : daemon::BootFields()) {
    const std::string name(field.mName);
    if (aParsed.count(name) == 0) {
      continue;
    }
    const auto set =
      daemon::SetBootField(boot, name, aParsed[name].as<std::string>());
    if (!set) {
      return MakeError(set.error().mCode, "--" + set.error().mMessage);
    }
  }
  const auto complete = daemon::CompleteBootSettings(boot);
  if (!complete) {
    return tl::unexpected(complete.error());
  }
  return boot;
}

/// Reads and validates the settings file; empty if no file is configured.
Result<std::string> ReadInitialSettings(const std::string& aPath)
{
  if (aPath.empty()) {
    return std::string();
  }
  auto text = netutil::ReadFile(aPath);
  if (!text) {
    return text;
  }
  const auto parsed = ParseSettings(*text, Revision{});
  if (!parsed) {
    return MakeError(parsed.error().mCode,
                     aPath + ": " + parsed.error().mMessage);
  }
  return text;
}

/// Empty if no file is configured.
Result<std::vector<std::string>> ReadPeerSecrets(const std::string& aPath)
{
  if (aPath.empty()) {
    return std::vector<std::string>();
  }
  const auto text = netutil::ReadFile(aPath);
  if (!text) {
    return tl::unexpected(text.error());
  }
  auto secrets = ParsePeerSecrets(*text);
  if (!secrets) {
    return MakeError(secrets.error().mCode,
                     aPath + ": " + secrets.error().mMessage);
  }
  return secrets;
}

/// Writes the prefix of each log line as key=value pairs.
void WriteLogPrefix(std::ostream& aStream,
                    const google::LogMessageInfo& aInfo,
                    void*)
{
  aStream << "level=" << aInfo.severity << " time=" << 1900 + aInfo.time.year()
          << '-' << std::setfill('0') << std::setw(2) << 1 + aInfo.time.month()
          << '-' << std::setw(2) << aInfo.time.day() << 'T' << std::setw(2)
          << aInfo.time.hour() << ':' << std::setw(2) << aInfo.time.min() << ':'
          << std::setw(2) << aInfo.time.sec() << '.' << std::setw(6)
          << aInfo.time.usec();
}

/// Raises the soft limit of file descriptors to the hard limit, since the
/// number of connections can exceed the usual soft limit.
void RaiseFileLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

void StartLog(const char* aProgramPath, const std::string& aDirectory)
{
  if (aDirectory.empty()) {
    FLAGS_logtostderr = true;
  } else {
    FLAGS_log_dir = aDirectory;
    FLAGS_stderrthreshold = google::GLOG_ERROR;
    // Flush every second, since the files are read while the process runs.
    FLAGS_logbufsecs = 1;
  }
  google::InitGoogleLogging(aProgramPath, &WriteLogPrefix);
}

cxxopts::Options MakeOptions()
{
  cxxopts::Options options(
    std::string(kProgram),
    "Steers callers' requests to backend servers; one process per VM.\n"
    "Fields may be set here or in the boot file; options take precedence.");
  auto add = options.add_options();
  add("config", "Boot file (YAML)", cxxopts::value<std::string>());
  for (const daemon::BootField& field : daemon::BootFields()) {
    add(std::string(field.mName),
        std::string(field.mHelp),
        cxxopts::value<std::string>());
  }
  add("help", "Show this help");
  return options;
}

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (!parsed.unmatched().empty()) {
    return netutil::ReportError(
      kProgram,
      { ResultCode::InvalidArgument,
        "unexpected command-line argument " + parsed.unmatched().front() });
  }
  const auto boot = ReadBootSettings(parsed);
  if (!boot) {
    return netutil::ReportError(kProgram, boot.error());
  }
  const auto document = ReadInitialSettings(boot->mSettingsFile);
  if (!document) {
    return netutil::ReportError(kProgram, document.error());
  }
  const auto secrets = ReadPeerSecrets(boot->mPeerSecretFile);
  if (!secrets) {
    return netutil::ReportError(kProgram, secrets.error());
  }
  RaiseFileLimit();
  StartLog(aArguments[0], boot->mLogDirectory);
  if (secrets->empty()) {
    LOG(WARNING) << "event=peer_messages_not_authenticated"
                 << " reason=no_peer_secret_file";
  }
  const Incarnation incarnation = daemon::MakeIncarnation();
  boost::asio::io_context context(1);
  daemon::Daemon daemon(
    context,
    { .mBoot = *boot,
      .mInitialDocument = *document,
      .mPeerSecrets = *secrets,
      .mIncarnation = incarnation,
      .mSeed = HashBytes(boot->mVm.mName, incarnation.mNumber) });
  const auto started = daemon.Start();
  if (!started) {
    return netutil::ReportError(kProgram, started.error());
  }
  netutil::RunUntilStopped(context, [&daemon] { daemon.RequestShutdown(); });
  google::FlushLogFiles(google::GLOG_INFO);
  if (daemon.IsDeclaredDead()) {
    return netutil::ReportError(
      kProgram,
      { ResultCode::ShuttingDown, "peers have declared this process dead" });
  }
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return netutil::RunMain(kProgram, Run, aCount, aArguments);
}
