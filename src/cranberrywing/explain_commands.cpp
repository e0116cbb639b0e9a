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
  AddText(aAdd, "account", "Client account of its key", "ACCOUNT");
  AddText(aAdd, "key", "Its idempotency key", "KEY");
  AddText(aAdd, "bytes", "Length of its body (default: 0)", "NUMBER");
}

void AddSettingOptions(cxxopts::OptionAdder& aAdd)
{
  AddText(aAdd, "region", "Region", "REGION");
  AddText(aAdd, "service", "Service", "SERVICE");
  AddText(aAdd, "account", "Client account", "ACCOUNT");
  AddText(aAdd, "route", "Route", "ROUTE");
}

/// "name=value ..." of an array of objects.
std::string JoinList(const json::object& aStep,
                     std::string_view aList,
                     std::string_view aName)
{
  const json::array* const list = netutil::FindArray(aStep, aList);
  std::string text;
  for (const json::value& value : list ? *list : json::array()) {
    const json::object* const one = value.if_object();
    if (!one) {
      continue;
    }
    text += text.empty() ? "" : "; ";
    text += TextOf(*one, aName) + "=" + TextOf(*one, "value");
    const std::string node = TextOf(*one, "node");
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
      out << Printable(TextOf(*step, "rule")) << ": "
          << Printable(TextOf(*step, "result")) << '\n';
      const std::string inputs = JoinList(*step, "inputs", "name");
      const std::string settings = JoinList(*step, "settings", "field");
      if (!inputs.empty()) {
        out << "  inputs: " << Printable(inputs) << '\n';
      }
      if (!settings.empty()) {
        out << "  settings: " << Printable(settings) << '\n';
      }
    }
  }
  aInvocation.Out() << "result: " << TextOf(aBody, "result") << " (revision "
                    << TextOf(aBody, "revision") << ")\n";
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
  if (!aInvocation.Has("path")) {
    return MakeError(ResultCode::InvalidArgument,
                     "'explain request' needs --path");
  }
  return Explain(aInvocation,
                 MakeTarget("/v1/explain/request",
                            { OptionOf(aInvocation, "method"),
                              OptionOf(aInvocation, "path"),
                              OptionOf(aInvocation, "account"),
                              OptionOf(aInvocation, "key"),
                              OptionOf(aInvocation, "bytes") }));
}

Result<void> RunLookup(Invocation& aInvocation)
{
  return Explain(aInvocation,
                 MakeTarget("/v1/explain/lookup",
                            { OptionOf(aInvocation, "client"),
                              OptionOf(aInvocation, "account"),
                              OptionOf(aInvocation, "route"),
                              OptionOf(aInvocation, "key") }));
}

Result<void> RunSetting(Invocation& aInvocation)
{
  auto body = aInvocation.mClient.GetObject(
    MakeTarget("/v1/explain/setting",
               { OptionOf(aInvocation, "region"),
                 OptionOf(aInvocation, "service"),
                 OptionOf(aInvocation, "account"),
                 OptionOf(aInvocation, "route") }));
  if (!body) {
    return tl::unexpected(body.error());
  }
  const std::string wanted =
    aInvocation.mWords.empty() ? "" : aInvocation.mWords[0];
  json::array shown;
  Table table({ "SETTING", "VALUE", "SET BY" });
  const json::array* const policy = netutil::FindArray(*body, "policy");
  for (const json::value& value : policy ? *policy : json::array()) {
    const json::object* const one = value.if_object();
    if (!one || (!wanted.empty() && TextOf(*one, "field") != wanted)) {
      continue;
    }
    table.Add(
      { TextOf(*one, "field"), TextOf(*one, "value"), TextOf(*one, "node") });
    shown.push_back(*one);
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
  AddText(aAdd, "client", "Client's IPv4 address (default: own)", "IP");
  AddText(aAdd, "account", "Client account", "ACCOUNT");
  AddText(aAdd, "route", "Route", "ROUTE");
  AddText(aAdd, "key", "Idempotency key", "KEY");
}

std::pair<std::string, std::string> OptionOf(const Invocation& aInvocation,
                                             const std::string& aName)
{
  return { aName, aInvocation.Text(aName) };
}

const CommandList& ExplainCommands()
{
  static const CommandList sCommands{
    { .mName = "explain request",
      .mHelp = "Shows how a daemon would decide a request now.\nEach rule is "
               "listed with its inputs, the settings it uses, the node that "
               "set each of them, and its result.",
      .mAddOptions = &AddRequestOptions,
      .mRun = &RunRequest },
    { .mName = "explain lookup",
      .mHelp = "Shows why a caller is told to use certain VMs.",
      .mAddOptions = &AddLookupOptions,
      .mRun = &RunLookup },
    { .mName = "explain setting",
      .mWords = "[FIELD]",
      .mMostWords = 1,
      .mHelp = "Shows a policy's value at one place of the tree and the node "
               "that set it.",
      .mAddOptions = &AddSettingOptions,
      .mRun = &RunSetting },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
