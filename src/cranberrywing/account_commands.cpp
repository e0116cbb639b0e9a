#include <algorithm>
#include <array>

#include "cranberrywing/settings_access.h"
#include "cranberrywing/settings_commands.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

struct AccountField
{
  const char* mOption;
  const char* mSetting;
  const char* mHelp;
};

constexpr std::array<AccountField, 4> kFields{ {
  { "rate", "rate", "Requests per second, summed over all VMs" },
  { "burst", "burst", "Burst size in requests, summed over all VMs" },
  { "weight", "weight", "Relative share when capacity is insufficient" },
  { "subset-size",
    "subset_size",
    "Number of VMs among which lookups distribute the account" },
} };

void AddAccountOptions(cxxopts::OptionAdder& aAdd)
{
  for (const AccountField& field : kFields) {
    aAdd(field.mOption, field.mHelp, cxxopts::value<std::string>(), "NUMBER");
  }
  AddSummary(aAdd);
}

std::string AccountPath(const std::string& aAccount)
{
  return "accounts/" + aAccount;
}

std::string SummaryOrDefault(const Invocation& aInvocation,
                             const std::string& aDefault)
{
  const std::string summary = aInvocation.OptionValue("summary");
  return summary.empty() ? aDefault : summary;
}

Result<SettingsSnapshotPtr> ReadSnapshot(const Invocation& aInvocation)
{
  const auto document = ReadSettings(aInvocation.mClient);
  if (!document) {
    return tl::unexpected(document.error());
  }
  return ParseSettings(document->mText, document->mRevision);
}

std::vector<AccountId> SortedAccounts(const SettingsSnapshot& aSettings)
{
  std::vector<AccountId> accounts;
  for (const auto& [id, account] : aSettings.mAccounts) {
    accounts.push_back(id);
  }
  std::sort(accounts.begin(), accounts.end());
  return accounts;
}

json::object AccountView(const AccountSettings& aAccount)
{
  json::array keys;
  for (const KeySettings& key : aAccount.mKeys) {
    json::object entry;
    entry["name"] = key.mName;
    entry["withdrawn"] = key.mWithdrawn;
    keys.push_back(std::move(entry));
  }
  json::object view;
  view["account"] = aAccount.mAccount.mName;
  view["rate"] = aAccount.mRate;
  view["burst"] = aAccount.mBurst;
  view["weight"] = aAccount.mWeight;
  view["subset_size"] = aAccount.mSubsetSize;
  view["keys"] = std::move(keys);
  return view;
}

void ShowAccounts(Invocation& aInvocation,
                  const SettingsSnapshot& aSettings,
                  const std::vector<AccountId>& aAccounts)
{
  json::array list;
  Table table(
    { "ACCOUNT", "RATE", "BURST", "WEIGHT", "SUBSET", "KEYS", "WITHDRAWN" });
  for (const AccountId& id : aAccounts) {
    const AccountSettings& account = aSettings.mAccounts.at(id);
    const json::object view = AccountView(account);
    const auto withdrawn =
      std::count_if(account.mKeys.begin(),
                    account.mKeys.end(),
                    [](const KeySettings& aKey) { return aKey.mWithdrawn; });
    table.Add({ FormatValue(view, "account"),
                FormatValue(view, "rate"),
                FormatValue(view, "burst"),
                FormatValue(view, "weight"),
                FormatValue(view, "subset_size"),
                std::to_string(account.mKeys.size()),
                std::to_string(withdrawn) });
    list.push_back(view);
  }
  if (aInvocation.mIsJson) {
    json::object body;
    body["revision"] = aSettings.mRevision.mNumber;
    body["accounts"] = std::move(list);
    PrintJson(aInvocation.Out(), body);
    return;
  }
  table.Print(aInvocation.Out());
}

Result<void> RunList(Invocation& aInvocation)
{
  const auto settings = ReadSnapshot(aInvocation);
  if (!settings) {
    return tl::unexpected(settings.error());
  }
  ShowAccounts(aInvocation, **settings, SortedAccounts(**settings));
  return {};
}

Result<void> RequireAccount(const SettingsSnapshot& aSettings,
                            const AccountId& aAccount)
{
  if (!aSettings.mAccounts.contains(aAccount)) {
    return MakeError(ResultCode::UnknownNode,
                     "there is no client account '" + aAccount.mName + "'");
  }
  return {};
}

Result<void> RunShow(Invocation& aInvocation)
{
  const auto settings = ReadSnapshot(aInvocation);
  if (!settings) {
    return tl::unexpected(settings.error());
  }
  const AccountId account(aInvocation.mArguments[0]);
  const auto known = RequireAccount(**settings, account);
  if (!known) {
    return known;
  }
  ShowAccounts(aInvocation, **settings, { account });
  return {};
}

Result<void> RunAdd(Invocation& aInvocation)
{
  if (!aInvocation.HasOption("rate") || !aInvocation.HasOption("burst")) {
    return MakeError(ResultCode::InvalidArgument,
                     "'account add' needs --rate and --burst");
  }
  const std::string& name = aInvocation.mArguments[0];
  return ChangeSettings(
    aInvocation,
    SummaryOrDefault(aInvocation, "add account " + name),
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      if (aSettings.mAccounts.contains(AccountId(name))) {
        return MakeError(ResultCode::InvalidArgument,
                         "the client account '" + name + "' already exists");
      }
      std::string fields;
      for (const AccountField& field : kFields) {
        if (aInvocation.HasOption(field.mOption)) {
          fields += (fields.empty() ? "" : ", ") + std::string(field.mSetting) +
                    ": " + aInvocation.OptionValue(field.mOption);
        }
      }
      return SettingValues{ { AccountPath(name), "{" + fields + "}" } };
    });
}

Result<void> RunSet(Invocation& aInvocation)
{
  const std::string& name = aInvocation.mArguments[0];
  SettingValues values;
  for (const AccountField& field : kFields) {
    if (aInvocation.HasOption(field.mOption)) {
      values.push_back({ AccountPath(name) + "/" + field.mSetting,
                         aInvocation.OptionValue(field.mOption) });
    }
  }
  if (values.empty()) {
    return MakeError(ResultCode::InvalidArgument,
                     "'account set' needs --rate, --burst, --weight or "
                     "--subset-size");
  }
  return ChangeSettings(
    aInvocation,
    SummaryOrDefault(aInvocation, "set account " + name),
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      const auto known = RequireAccount(aSettings, AccountId(name));
      if (!known) {
        return tl::unexpected(known.error());
      }
      return values;
    });
}

Result<void> RunRemove(Invocation& aInvocation)
{
  const std::string& name = aInvocation.mArguments[0];
  return ChangeSettings(
    aInvocation,
    SummaryOrDefault(aInvocation, "remove account " + name),
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      const auto known = RequireAccount(aSettings, AccountId(name));
      if (!known) {
        return tl::unexpected(known.error());
      }
      return SettingValues{ { AccountPath(name), "" } };
    });
}

} // namespace

const CommandList& AccountCommands()
{
  static const CommandList sCommands{
    { .mName = "account list",
      .mHelp = "Lists the client accounts.",
      .mRun = &RunList },
    { .mName = "account show",
      .mArguments = "ACCOUNT",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Shows one client account.",
      .mRun = &RunShow },
    { .mName = "account add",
      .mArguments = "ACCOUNT",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Adds a client account; needs --rate and --burst.",
      .mAddOptions = &AddAccountOptions,
      .mRun = &RunAdd },
    { .mName = "account set",
      .mArguments = "ACCOUNT",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp = "Changes a client account's rate, burst, weight or subset.",
      .mAddOptions = &AddAccountOptions,
      .mRun = &RunSet },
    { .mName = "account remove",
      .mArguments = "ACCOUNT",
      .mMinArguments = 1,
      .mMaxArguments = 1,
      .mHelp =
        "Removes a client account with its keys.\nRejected while policies "
        "below root refer to the account.",
      .mAddOptions = &AddSummary,
      .mRun = &RunRemove },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
