#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cctype>

#include "cranberrywing/settings_access.h"
#include "cranberrywing/settings_commands.h"
#include "netutil/json.h"

namespace cranberrywing::cli {

namespace json = boost::json;

namespace {

constexpr std::size_t kKeyBytes = 32;

const KeySettings* FindKey(const SettingsSnapshot& aSettings,
                           const AccountId& aAccount,
                           const std::string& aKey)
{
  const auto account = aSettings.mAccounts.find(aAccount);
  if (account == aSettings.mAccounts.end()) {
    return nullptr;
  }
  const auto& keys = account->second.mKeys;
  const auto it =
    std::find_if(keys.begin(), keys.end(), [&aKey](const KeySettings& aOne) {
      return aOne.mName == aKey;
    });
  return it == keys.end() ? nullptr : &*it;
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

/// Only a daemon knows the pepper of the digests.
Result<std::string> AskDigest(const Invocation& aInvocation,
                              const std::string& aAccount,
                              const std::string& aKey)
{
  json::object order;
  order["key"] = aKey;
  const auto answer = aInvocation.mClient.Send(
    { .mMethod = "POST",
      .mTarget = "/v1/accounts/" + EncodeSegment(aAccount) + "/keys",
      .mHeaders = { { "Content-Type", "application/json" } },
      .mBody = json::serialize(order) });
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  const auto body = netutil::ParseObject(answer->mBody);
  if (!body) {
    return tl::unexpected(body.error());
  }
  std::string digest = netutil::FindString(*body, "digest");
  if (digest.empty()) {
    return MakeError(ResultCode::Malformed, "the daemon gave no digest");
  }
  return digest;
}

/// The key as text or JSON; the only place that shows it. aOutcome is null if
/// it is not known whether the key was accepted.
void ShowKey(Invocation& aInvocation,
             const std::string& aKey,
             const SettingsOutcome* aOutcome)
{
  if (aInvocation.mIsJson) {
    json::object body;
    body["account"] = aInvocation.mWords[0];
    body["name"] = aInvocation.mWords[1];
    body["key"] = aKey;
    if (aOutcome) {
      body["revision"] = aOutcome->mRevision.mNumber;
    }
    PrintJson(aInvocation.Out(), body);
    return;
  }
  aInvocation.Out() << "key " << aKey << '\n';
  if (aOutcome) {
    aInvocation.Out() << "accepted as revision " << aOutcome->mRevision.mNumber
                      << '\n';
  }
  aInvocation.Notes() << "Keep this key; it is not stored and cannot be shown "
                         "again.\n";
}

Result<SettingsOutcome> StoreDigest(Invocation& aInvocation,
                                    const std::string& aDigest)
{
  const std::string& account = aInvocation.mWords[0];
  const std::string& name = aInvocation.mWords[1];
  auto base = ReadSettings(aInvocation.mClient);
  if (!base) {
    return tl::unexpected(base.error());
  }
  // An account without a list of keys has no end to add one to.
  const std::string path = "accounts/" + account + "/keys";
  const std::string key = "{name: " + name + ", digest: " + aDigest + "}";
  const bool hasList = ReadSetting(base->mText, path).has_value();
  auto document = hasList ? EditSetting(base->mText, path + "/-", key)
                          : EditSetting(base->mText, path, "[" + key + "]");
  if (!document) {
    return tl::unexpected(document.error());
  }
  const std::string summary = aInvocation.Text("summary");
  const std::string usual = "issue key " + account + "/" + name;
  return WriteSettings(aInvocation,
                       { .mBase = std::move(*base),
                         .mDocument = std::move(*document),
                         .mSummary = summary.empty() ? usual : summary,
                         .mFile = {},
                         // The digest is of no use without the key.
                         .mIsKept = false });
}

bool IsName(const std::string& aName)
{
  const auto isAllowed = [](unsigned char aByte) {
    return std::isalnum(aByte) || aByte == '.' || aByte == '_' || aByte == '-';
  };
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), isAllowed);
}

/// Refuses before a key is made what the daemon would refuse afterwards.
Result<void> RequireNewKey(const Invocation& aInvocation)
{
  if (!IsName(aInvocation.mWords[1])) {
    return MakeError(ResultCode::InvalidArgument,
                     "a key's name has letters, digits, '.', '_' and '-'");
  }
  const auto base = ReadSettings(aInvocation.mClient);
  if (!base) {
    return tl::unexpected(base.error());
  }
  const auto settings = ParseSettings(base->mText, base->mRevision);
  if (!settings) {
    return tl::unexpected(settings.error());
  }
  const AccountId account(aInvocation.mWords[0]);
  const auto known = RequireAccount(**settings, account);
  if (known && FindKey(**settings, account, aInvocation.mWords[1])) {
    return MakeError(ResultCode::InvalidArgument,
                     "the client account has a key '" + aInvocation.mWords[1] +
                       "'; take another name");
  }
  return known;
}

Result<void> RunIssue(Invocation& aInvocation)
{
  const auto isNew = RequireNewKey(aInvocation);
  if (!isNew) {
    return isNew;
  }
  const auto key = RandomHex(kKeyBytes);
  if (!key) {
    return tl::unexpected(key.error());
  }
  const auto digest = AskDigest(aInvocation, aInvocation.mWords[0], *key);
  if (!digest) {
    return tl::unexpected(digest.error());
  }
  const auto outcome = StoreDigest(aInvocation, *digest);
  if (!outcome) {
    // If the key may have been accepted, it must not be lost.
    if (outcome.error().mCode == ResultCode::OutcomeUnknown) {
      ShowKey(aInvocation, *key, nullptr);
    }
    return tl::unexpected(outcome.error());
  }
  ShowKey(aInvocation, *key, &*outcome);
  return {};
}

Result<void> RunWithdraw(Invocation& aInvocation)
{
  const std::string& account = aInvocation.mWords[0];
  const std::string& name = aInvocation.mWords[1];
  const std::string summary = aInvocation.Text("summary");
  const std::string usual = "withdraw key " + account + "/" + name;
  return ChangeSettings(
    aInvocation,
    summary.empty() ? usual : summary,
    [&](const SettingsSnapshot& aSettings) -> Result<SettingValues> {
      const auto known = RequireAccount(aSettings, AccountId(account));
      if (!known) {
        return tl::unexpected(known.error());
      }
      if (!FindKey(aSettings, AccountId(account), name)) {
        return MakeError(ResultCode::UnknownNode,
                         "the client account has no key '" + name + "'");
      }
      return SettingValues{
        { "accounts/" + account + "/keys/" + name + "/withdrawn", "true" }
      };
    });
}

Result<void> RunList(Invocation& aInvocation)
{
  const auto document = ReadSettings(aInvocation.mClient);
  if (!document) {
    return tl::unexpected(document.error());
  }
  const auto settings = ParseSettings(document->mText, document->mRevision);
  if (!settings) {
    return tl::unexpected(settings.error());
  }
  std::vector<AccountId> accounts;
  for (const auto& [id, account] : (*settings)->mAccounts) {
    if (aInvocation.mWords.empty() || id.mName == aInvocation.mWords[0]) {
      accounts.push_back(id);
    }
  }
  if (accounts.empty() && !aInvocation.mWords.empty()) {
    return RequireAccount(**settings, AccountId(aInvocation.mWords[0]));
  }
  std::sort(accounts.begin(), accounts.end());
  json::array list;
  Table table({ "ACCOUNT", "KEY", "STATE" });
  for (const AccountId& id : accounts) {
    for (const KeySettings& key : (*settings)->mAccounts.at(id).mKeys) {
      const std::string state = key.mWithdrawn ? "withdrawn" : "valid";
      table.Add({ id.mName, key.mName, state });
      json::object one;
      one["account"] = id.mName;
      one["name"] = key.mName;
      one["withdrawn"] = key.mWithdrawn;
      list.push_back(std::move(one));
    }
  }
  if (aInvocation.mIsJson) {
    json::object body;
    body["keys"] = std::move(list);
    PrintJson(aInvocation.Out(), body);
    return {};
  }
  table.Print(aInvocation.Out());
  return {};
}

} // namespace

const CommandList& KeyCommands()
{
  static const CommandList sCommands{
    { .mName = "key issue",
      .mWords = "ACCOUNT NAME",
      .mLeastWords = 2,
      .mMostWords = 2,
      .mHelp = "Makes a key for a client account and shows it once.\nOnly the "
               "key's digest is stored.",
      .mAddOptions = &AddSummary,
      .mRun = &RunIssue },
    { .mName = "key withdraw",
      .mWords = "ACCOUNT NAME",
      .mLeastWords = 2,
      .mMostWords = 2,
      .mHelp = "Withdraws a key; it is refused everywhere within seconds.",
      .mAddOptions = &AddSummary,
      .mRun = &RunWithdraw },
    { .mName = "key list",
      .mWords = "[ACCOUNT]",
      .mMostWords = 1,
      .mHelp = "Lists the names of keys.",
      .mRun = &RunList },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
