/// \file
/// Command descriptions and the invocation passed to a command.
#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/api_client.h"
#include "cranberrywing/output.h"

namespace cranberrywing::cli {

/// One invocation of a command with its parsed command line.
struct Invocation
{
  const Context& mContext;
  const cxxopts::ParseResult& mOptions;
  /// Positional arguments after the name of the command.
  std::vector<std::string> mArguments;
  ApiClient mClient;
  bool mIsJson = false;

  /// Returns the value of an option; empty if it was not given.
  std::string OptionValue(const std::string& aName) const;
  /// Whether the option was given.
  bool HasOption(const std::string& aName) const;
  std::ostream& Out() const { return mContext.mOut; }
  /// Standard error, for messages that are not part of the result.
  std::ostream& ErrorOut() const { return mContext.mError; }
};

struct Command
{
  /// Name of the command: one or two words separated by a space.
  std::string_view mName;
  /// Names of the positional arguments for the help text; "[NAME]" is optional.
  std::string_view mArguments;
  std::size_t mMinArguments = 0;
  std::size_t mMaxArguments = 0;
  std::string_view mHelp;
  /// Whether the command can run without a daemon.
  bool mIsOffline = false;
  void (*mAddOptions)(cxxopts::OptionAdder& aAdd) = nullptr;
  Result<void> (*mRun)(Invocation& aInvocation) = nullptr;
};

using CommandList = std::vector<Command>;

const CommandList& SettingsCommands();
const CommandList& AccountCommands();
const CommandList& KeyCommands();
const CommandList& TrafficCommands();
const CommandList& StatusCommands();
const CommandList& LookupCommands();
const CommandList& ExplainCommands();

/// Returns all commands in the order of the help text. Thread-safe.
CommandList AllCommands();

} // namespace cranberrywing::cli
