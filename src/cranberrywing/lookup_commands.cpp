#include "cranberrywing/command.h"
#include "cranberrywing/explain_commands.h"
#include "netutil/json.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

Result<void> RunLookup(Invocation& aInvocation)
{
  const auto body = aInvocation.mClient.GetObject(
    MakeTarget("/v1/lookup",
               { QueryOption(aInvocation, "client"),
                 QueryOption(aInvocation, "account"),
                 QueryOption(aInvocation, "route"),
                 QueryOption(aInvocation, "key") }));
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (aInvocation.mIsJson) {
    PrintJson(aInvocation.Out(), *body);
    return {};
  }
  Table table({ "ORDER", "VM", "ADDRESS", "PORT" });
  if (const json::array* vms = netutil::FindArray(*body, "vms")) {
    int order = 0;
    for (const json::value& value : *vms) {
      if (const json::object* vm = value.if_object()) {
        table.Add({ std::to_string(++order),
                    FormatValue(*vm, "vm"),
                    FormatValue(*vm, "address"),
                    FormatValue(*vm, "port") });
      }
    }
  }
  table.Print(aInvocation.Out());
  aInvocation.Out() << "valid for " << FormatValue(*body, "lifetime_ms")
                    << " ms\n";
  return {};
}

} // namespace

const CommandList& LookupCommands()
{
  static const CommandList sCommands{
    { .mName = "lookup",
      .mHelp = "Shows the VMs that a lookup returns to a caller.",
      .mAddOptions = &AddLookupOptions,
      .mRun = &RunLookup },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
