#include "cranberrywing/explain_commands.h"

#include "netutil/json.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

void AddText(cxxopts::OptionAdder& aAdd,
             const char* aName,
             const char* aHelp,
             const char* aValue)
{
  aAdd(aName, aHelp, cxxopts::value<std::string>(), aValue);
}

void AddRequestOptions(cxxopts::OptionAdder& aAdd)
{
  AddText(aAdd, "method", "Method of the request (default: GET)", "METHOD");
  AddText(aAdd, "path", "Path of the request", "PATH");
  AddText(
    aAdd, "account", "Client account that the request belongs to", "ACCOUNT");
  AddText(aAdd, "key", "Idempotency key of the request", "KEY");
  AddText(
    aAdd, "bytes", "Body size of the request in bytes (default: 0)", "NUMBER");
}

void AddSettingOptions(cxxopts::OptionAdder& aAdd)
{
  AddText(aAdd, "region", "Region", "REGION");
  AddText(aAdd, "service", "Service", "SERVICE");
  AddText(aAdd, "account", "Client account", "ACCOUNT");
  AddText(aAdd, "route", "Route", "ROUTE");
}

/// Formats an array of objects as "name=value (node); ...".
std::string FormatList(const json::object& aStep,
                       std::string_view aList,
                       std::string_view aName)
{
  const json::array* const list = netutil::FindArray(aStep, aList);
  std::string text;
  for (const json::value& value : list ? *list : json::array()) {
    const json::object* const entry = value.if_object();
    if (!entry) {
      continue;
    }
    text += text.empty() ? "" : "; ";
    text += FormatValue(*entry, aName) + "=" + FormatValue(*entry, "value");
    const std::string node = FormatValue(*entry, "node");
    text += node.empty() ? "" : " (" + node + ")";
  }
  return text;
}

void PrintExplanation(Invocation& aInvocation, const json::object& aBody)
{
  if (aInvocation.mIsJson) {
    PrintJson(aInvocation.Out(), aBody);
    return;
  }
  if (const json::array* steps = netutil::FindArray(aBody, "steps")) {
    for (const json::value& value : *steps) {
      const json::object* const step = value.if_object();
      if (!step) {
        continue;
      }
      std::ostream& out = aInvocation.Out();
      out << ReplaceControlCharacters(FormatValue(*step, "rule")) << ": "
          << ReplaceControlCharacters(FormatValue(*step, "result")) << '\n';
      const std::string inputs = FormatList(*step, "inputs", "name");
      const std::string settings = FormatList(*step, "settings", "field");
      if (!inputs.empty()) {
        out << "  inputs: " << ReplaceControlCharacters(inputs) << '\n';
      }
      if (!settings.empty()) {
        out << "  settings: " << ReplaceControlCharacters(settings) << '\n';
      }
    }
  }
  aInvocation.Out() << "result: " << FormatValue(aBody, "result")
                    << " (revision " << FormatValue(aBody, "revision") << ")\n";
}

Result<void> Explain(Invocation& aInvocation, const std::string& aTarget)
{
  const auto body = aInvocation.mClient.GetObject(aTarget);
  if (!body) {
    return tl::unexpected(body.error());
  }
  PrintExplanation(aInvocation, *body);
  return {};
}

Result<void> RunRequest(Invocation& aInvocation)
{
  if (!aInvocation.HasOption("path")) {
    return MakeError(ResultCode::InvalidArgument,
                     "'explain request' needs --path");
  }
  return Explain(aInvocation,
                 MakeTarget("/v1/explain/request",
                            { QueryOption(aInvocation, "method"),
                              QueryOption(aInvocation, "path"),
                              QueryOption(aInvocation, "account"),
                              QueryOption(aInvocation, "key"),
                              QueryOption(aInvocation, "bytes") }));
}

Result<void> RunLookup(Invocation& aInvocation)
{
  return Explain(aInvocation,
                 MakeTarget("/v1/explain/lookup",
                            { QueryOption(aInvocation, "client"),
                              QueryOption(aInvocation, "account"),
                              QueryOption(aInvocation, "route"),
                              QueryOption(aInvocation, "key") }));
}

Result<void> RunSetting(Invocation& aInvocation)
{
  auto body = aInvocation.mClient.GetObject(
    MakeTarget("/v1/explain/setting",
               { QueryOption(aInvocation, "region"),
                 QueryOption(aInvocation, "service"),
                 QueryOption(aInvocation, "account"),
                 QueryOption(aInvocation, "route") }));
  if (!body) {
    return tl::unexpected(body.error());
  }
  const std::string wanted =
    aInvocation.mArguments.empty() ? "" : aInvocation.mArguments[0];
  json::array shown;
  Table table({ "SETTING", "VALUE", "SET BY" });
  const json::array* const policy = netutil::FindArray(*body, "policy");
  for (const json::value& value : policy ? *policy : json::array()) {
    const json::object* const entry = value.if_object();
    if (!entry || (!wanted.empty() && FormatValue(*entry, "field") != wanted)) {
      continue;
    }
    table.Add({ FormatValue(*entry, "field"),
                FormatValue(*entry, "value"),
                FormatValue(*entry, "node") });
    shown.push_back(*entry);
  }
  if (shown.empty()) {
    return MakeError(ResultCode::UnknownNode,
                     "there is no policy field '" + wanted + "'");
  }
  if (aInvocation.mIsJson) {
    (*body)["policy"] = std::move(shown);
    PrintJson(aInvocation.Out(), *body);
    return {};
  }
  table.Print(aInvocation.Out());
  return {};
}

} // namespace

void AddLookupOptions(cxxopts::OptionAdder& aAdd)
{
  AddText(aAdd,
          "client",
          "Client's IPv4 address (default: the address of this client)",
          "IP");
  AddText(aAdd, "account", "Client account", "ACCOUNT");
  AddText(aAdd, "route", "Route", "ROUTE");
  AddText(aAdd, "key", "Idempotency key", "KEY");
}

std::pair<std::string, std::string> QueryOption(const Invocation& aInvocation,
                                                const std::string& aName)
{
  return { aName, aInvocation.OptionValue(aName) };
}

const CommandList& ExplainCommands()
{
  static const CommandList sCommands{
    { .mName = "explain request",
      .mHelp = "Shows how a daemon would handle a request now.\nEach rule is "
               "listed with its inputs, the settings it uses, the node that "
               "set each of them, and its result.",
      .mAddOptions = &AddRequestOptions,
      .mRun = &RunRequest },
    { .mName = "explain lookup",
      .mHelp = "Shows how the VMs that a lookup returns are selected.",
      .mAddOptions = &AddLookupOptions,
      .mRun = &RunLookup },
    { .mName = "explain setting",
      .mArguments = "[FIELD]",
      .mMaxArguments = 1,
      .mHelp =
        "Shows the effective policy values at a node of the tree and the node "
        "that set each.",
      .mAddOptions = &AddSettingOptions,
      .mRun = &RunSetting },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
