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
  { "rate", "rate", "Requests per second over all VMs together" },
  { "burst", "burst", "Requests over all VMs together" },
  { "weight", "weight", "Share when capacity is short" },
  { "subset-size", "subset_size", "VMs that lookups spread the account over" },
} };

void AddFields(cxxopts::OptionAdder& aAdd)
{
  for (const AccountField& field : kFields) {
    aAdd(field.mOption, field.mHelp, cxxopts::value<std::string>(), "NUMBER");
  }
  AddSummary(aAdd);
}

std::string PathOf(const std::string& aAccount)
{
  return "accounts/" + aAccount;
}

std::string SummaryOr(const Invocation& aInvocation, const std::string& aUsual)
{
  const std::string summary = aInvocation.Text("summary");
  return summary.empty() ? aUsual : summary;
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
    json::object one;
    one["name"] = key.mName;
    one["withdrawn"] = key.mWithdrawn;
    keys.push_back(std::move(one));
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
    table.Add({ TextOf(view, "account"),
                TextOf(view, "rate"),
                TextOf(view, "burst"),
                TextOf(view, "weight"),
                TextOf(view, "subset_size"),
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
  const AccountId account(aInvocation.mWords[0]);
  const auto known = RequireAccount(**settings, account);
  if (!known) {
    return known;
  }
  ShowAccounts(aInvocation, **settings, { account });
  return {};
}

Result<void> RunAdd(Invocation& aInvocation)
{
  if (!aInvocation.Has("rate") || !aInvocation.Has("burst")) {
    return MakeError(ResultCode::InvalidArgument,
                     "'account add' needs --rate and --burst");
  }
  const std::string& name = aInvocation.mWords[0];
  return ChangeSettings(
    aInvocation,
    SummaryOr(aInvocation, "add account " + name),
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      if (aSettings.mAccounts.contains(AccountId(name))) {
        return MakeError(ResultCode::InvalidArgument,
                         "the client account '" + name + "' exists");
      }
      std::string fields;
      for (const AccountField& field : kFields) {
        if (aInvocation.Has(field.mOption)) {
          fields += (fields.empty() ? "" : ", ") + std::string(field.mSetting) +
                    ": " + aInvocation.Text(field.mOption);
        }
      }
      return SettingValues{ { PathOf(name), "{" + fields + "}" } };
    });
}

Result<void> RunSet(Invocation& aInvocation)
{
  const std::string& name = aInvocation.mWords[0];
  SettingValues values;
  for (const AccountField& field : kFields) {
    if (aInvocation.Has(field.mOption)) {
      values.push_back({ PathOf(name) + "/" + field.mSetting,
                         aInvocation.Text(field.mOption) });
    }
  }
  if (values.empty()) {
    return MakeError(ResultCode::InvalidArgument,
                     "'account set' needs --rate, --burst, --weight or "
                     "--subset-size");
  }
  return ChangeSettings(
    aInvocation,
    SummaryOr(aInvocation, "set account " + name),
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
  const std::string& name = aInvocation.mWords[0];
  return ChangeSettings(
    aInvocation,
    SummaryOr(aInvocation, "remove account " + name),
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      const auto known = RequireAccount(aSettings, AccountId(name));
      if (!known) {
        return tl::unexpected(known.error());
      }
      return SettingValues{ { PathOf(name), "" } };
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
      .mWords = "ACCOUNT",
      .mLeastWords = 1,
      .mMostWords = 1,
      .mHelp = "Shows one client account.",
      .mRun = &RunShow },
    { .mName = "account add",
      .mWords = "ACCOUNT",
      .mLeastWords = 1,
      .mMostWords = 1,
      .mHelp = "Adds a client account; needs --rate and --burst.",
      .mAddOptions = &AddFields,
      .mRun = &RunAdd },
    { .mName = "account set",
      .mWords = "ACCOUNT",
      .mLeastWords = 1,
      .mMostWords = 1,
      .mHelp = "Changes a client account's rate, burst, weight or subset.",
      .mAddOptions = &AddFields,
      .mRun = &RunSet },
    { .mName = "account remove",
      .mWords = "ACCOUNT",
      .mLeastWords = 1,
      .mMostWords = 1,
      .mHelp = "Removes a client account with its keys.\nIt is refused while "
               "policies below root name the account.",
      .mAddOptions = &AddSummary,
      .mRun = &RunRemove },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
