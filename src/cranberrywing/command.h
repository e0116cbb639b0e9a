/// \file
/// Commands of the tool: their descriptions and the common options.
#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberrywing/api_client.h"
#include "cranberrywing/output.h"

namespace cranberrywing::cli {

/// One call of a command, with what the command line said.
struct Invocation
{
  const Context& mContext;
  const cxxopts::ParseResult& mOptions;
  /// Words that are no options, after the command's name.
  std::vector<std::string> mWords;
  ApiClient mClient;
  bool mIsJson = false;

  /// Value of an option; empty if it was not given.
  std::string Text(const std::string& aName) const;
  bool Has(const std::string& aName) const;
  std::ostream& Out() const { return mContext.mOut; }
  std::ostream& Notes() const { return mContext.mError; }
};

struct Command
{
  /// One or two words.
  std::string_view mName;
  /// Names of the words that follow, for the help; "[NAME]" is optional.
  std::string_view mWords;
  std::size_t mLeastWords = 0;
  std::size_t mMostWords = 0;
  std::string_view mHelp;
  /// Whether it can do without a daemon.
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

/// Every command, in the order of the help. Thread-safe.
CommandList AllCommands();

} // namespace cranberrywing::cli
