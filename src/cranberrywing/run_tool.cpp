#include <iostream>

#include "cranberrywing/command.h"
#include "netutil/json.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

constexpr std::string_view kProgram = "cranberrywing";

std::vector<std::string> SplitName(std::string_view aName)
{
  const std::size_t space = aName.find(' ');
  if (space == std::string_view::npos) {
    return { std::string(aName) };
  }
  return { std::string(aName.substr(0, space)),
           std::string(aName.substr(space + 1)) };
}

void PrintOverview(std::ostream& aOut)
{
  aOut << "Edits the settings of a cranberrywing deployment and shows its "
          "state.\n\nUsage: cranberrywing COMMAND [OPTION...]\n\n";
  for (const Command& command : AllCommands()) {
    std::string usage(command.mName);
    usage +=
      command.mArguments.empty() ? "" : " " + std::string(command.mArguments);
    usage.resize(std::max<std::size_t>(usage.size() + 2, 34), ' ');
    const std::string_view help = command.mHelp;
    aOut << "  " << usage << help.substr(0, help.find('\n')) << '\n';
  }
  aOut << "\n'cranberrywing COMMAND --help' shows the help of a command.\n";
}

const Command* FindCommand(const CommandList& aCommands,
                           const std::vector<std::string>& aArguments)
{
  for (const Command& command : aCommands) {
    const auto name = SplitName(command.mName);
    if (aArguments.size() >= name.size() &&
        std::equal(name.begin(), name.end(), aArguments.begin())) {
      return &command;
    }
  }
  return nullptr;
}

Error UnknownCommand(const CommandList& aCommands,
                     const std::vector<std::string>& aArguments)
{
  std::string subcommands;
  for (const Command& command : aCommands) {
    const auto name = SplitName(command.mName);
    if (name.size() == 2 && name[0] == aArguments[0]) {
      subcommands += (subcommands.empty() ? "" : ", ") + name[1];
    }
  }
  if (!subcommands.empty()) {
    return { ResultCode::InvalidArgument,
             "'" + aArguments[0] + "' needs one of: " + subcommands };
  }
  return { ResultCode::InvalidArgument,
           "there is no command '" + aArguments[0] +
             "'; see cranberrywing --help" };
}

cxxopts::Options MakeOptions(const Command& aCommand)
{
  cxxopts::Options options(std::string(kProgram) + " " +
                             std::string(aCommand.mName),
                           std::string(aCommand.mHelp) + "\n");
  auto add = options.add_options();
  if (aCommand.mAddOptions) {
    aCommand.mAddOptions(add);
  }
  using Texts = std::vector<std::string>;
  add("daemon",
      "Administration address of a daemon; if repeated, the next one is tried "
      "when one is unavailable (default: CRANBERRYWING_DAEMON)",
      cxxopts::value<Texts>(),
      "IP:PORT");
  add("token",
      "Operator token; use the environment variable CRANBERRYWING_TOKEN to "
      "keep it out of the process list",
      cxxopts::value<std::string>(),
      "TOKEN");
  add("timeout",
      "Timeout of one request to a daemon",
      cxxopts::value<std::string>()->default_value("15s"),
      "DURATION");
  add("json", "Print JSON");
  add("help", "Show this help");
  options.custom_help(std::string(aCommand.mArguments) + " [OPTION...]");
  return options;
}

std::string JoinDaemons(const Context& aContext,
                        const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("daemon") == 0) {
    return aContext.mDaemons;
  }
  std::string joined;
  for (const auto& entry : aParsed["daemon"].as<std::vector<std::string>>()) {
    joined += (joined.empty() ? "" : ",") + entry;
  }
  return joined;
}

Result<ApiClient> MakeClient(const Command& aCommand,
                             const Context& aContext,
                             const cxxopts::ParseResult& aParsed)
{
  auto daemons = netutil::ParseEndpoints(JoinDaemons(aContext, aParsed));
  if (!daemons) {
    return MakeError(ResultCode::InvalidArgument,
                     "--daemon: " + daemons.error().mMessage);
  }
  if (daemons->empty() && !aCommand.mIsOffline) {
    return MakeError(ResultCode::InvalidArgument,
                     "--daemon IP:PORT or CRANBERRYWING_DAEMON is required");
  }
  const auto timeout = ParseDuration(aParsed["timeout"].as<std::string>());
  if (!timeout || *timeout <= Duration::zero()) {
    return MakeError(ResultCode::InvalidArgument,
                     "--timeout needs a positive duration such as 5s");
  }
  const std::string token = aParsed.count("token") > 0
                              ? aParsed["token"].as<std::string>()
                              : aContext.mToken;
  return ApiClient(
    { .mDaemons = std::move(*daemons), .mToken = token, .mTimeout = *timeout },
    aContext.mTransport);
}

Result<std::vector<std::string>> ReadArguments(
  const Command& aCommand,
  const cxxopts::ParseResult& aParsed)
{
  // Not a positional list option, because cxxopts splits its values at commas,
  // which are common in YAML values.
  std::vector<std::string> arguments = aParsed.unmatched();
  if (arguments.size() < aCommand.mMinArguments) {
    return MakeError(ResultCode::InvalidArgument,
                     "'" + std::string(aCommand.mName) + "' needs " +
                       std::string(aCommand.mArguments));
  }
  if (arguments.size() > aCommand.mMaxArguments) {
    return MakeError(ResultCode::InvalidArgument,
                     "'" + std::string(aCommand.mName) + "' does not take '" +
                       arguments[aCommand.mMaxArguments] + "'");
  }
  return arguments;
}

/// Prints the error to standard error, and as JSON to standard output if JSON
/// was requested. Returns the exit status.
int Report(const Context& aContext, const Error& aError, bool aIsJson)
{
  if (aIsJson) {
    json::object error;
    error["code"] = static_cast<int>(aError.mCode);
    error["name"] = ToString(aError.mCode);
    error["message"] = aError.mMessage;
    json::object body;
    body["error"] = std::move(error);
    PrintJson(aContext.mOut, body);
  }
  aContext.mError << kProgram << ": " << ToString(aError.mCode) << ": "
                  << ReplaceControlCharacters(aError.mMessage) << '\n';
  return ExitStatus(aError.mCode);
}

int RunCommand(const Command& aCommand,
               const std::vector<std::string>& aArguments,
               const Context& aContext)
{
  std::vector<const char*> values{ kProgram.data() };
  for (std::size_t n = SplitName(aCommand.mName).size(); n < aArguments.size();
       ++n) {
    values.push_back(aArguments[n].c_str());
  }
  cxxopts::Options options = MakeOptions(aCommand);
  const auto parsed =
    options.parse(static_cast<int>(values.size()), values.data());
  const bool isJson = parsed.count("json") > 0;
  if (parsed.count("help") > 0) {
    aContext.mOut << options.help();
    return 0;
  }
  auto arguments = ReadArguments(aCommand, parsed);
  if (!arguments) {
    return Report(aContext, arguments.error(), isJson);
  }
  auto client = MakeClient(aCommand, aContext, parsed);
  if (!client) {
    return Report(aContext, client.error(), isJson);
  }
  Invocation invocation{ .mContext = aContext,
                         .mOptions = parsed,
                         .mArguments = std::move(*arguments),
                         .mClient = std::move(*client),
                         .mIsJson = isJson };
  const auto done = aCommand.mRun(invocation);
  return done ? 0 : Report(aContext, done.error(), isJson);
}

} // namespace

std::string Invocation::OptionValue(const std::string& aName) const
{
  return HasOption(aName) ? mOptions[aName].as<std::string>() : std::string();
}

bool Invocation::HasOption(const std::string& aName) const
{
  return mOptions.count(aName) > 0;
}

CommandList AllCommands()
{
  CommandList all;
  for (const CommandList* group : { &SettingsCommands(),
                                    &AccountCommands(),
                                    &KeyCommands(),
                                    &TrafficCommands(),
                                    &StatusCommands(),
                                    &LookupCommands(),
                                    &ExplainCommands() }) {
    all.insert(all.end(), group->begin(), group->end());
  }
  return all;
}

int RunTool(const std::vector<std::string>& aArguments, const Context& aContext)
{
  if (aArguments.empty() || aArguments[0] == "--help" ||
      aArguments[0] == "help") {
    PrintOverview(aContext.mOut);
    return aArguments.empty() ? ExitStatus(ResultCode::InvalidArgument) : 0;
  }
  const CommandList commands = AllCommands();
  const Command* const command = FindCommand(commands, aArguments);
  if (!command) {
    return Report(aContext, UnknownCommand(commands, aArguments), false);
  }
  try {
    return RunCommand(*command, aArguments, aContext);
  } catch (const cxxopts::exceptions::exception& error) {
    return Report(
      aContext, { ResultCode::InvalidArgument, error.what() }, false);
  } catch (const std::exception& error) {
    return Report(aContext, { ResultCode::Internal, error.what() }, false);
  }
}

} // namespace cranberrywing::cli
