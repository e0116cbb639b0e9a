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
  const auto it = std::find_if(
    keys.begin(), keys.end(), [&aKey](const KeySettings& aCandidate) {
      return aCandidate.mName == aKey;
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

/// Requests the digest of a key from a daemon, as only daemons have the pepper.
Result<std::string> RequestKeyDigest(const Invocation& aInvocation,
                                     const std::string& aAccount,
                                     const std::string& aKey)
{
  json::object requestBody;
  requestBody["key"] = aKey;
  const auto response = aInvocation.mClient.Send(
    { .mMethod = "POST",
      .mTarget = "/v1/accounts/" + EncodeSegment(aAccount) + "/keys",
      .mHeaders = { { "Content-Type", "application/json" } },
      .mBody = json::serialize(requestBody) });
  if (!response) {
    return tl::unexpected(response.error());
  }
  const auto body = netutil::ParseObject(response->mBody);
  if (!body) {
    return tl::unexpected(body.error());
  }
  std::string digest = netutil::FindString(*body, "digest");
  if (digest.empty()) {
    return MakeError(ResultCode::Malformed,
                     "the response of the daemon contains no key digest");
  }
  return digest;
}

/// Prints the key as text or JSON. This is the only place that prints it.
/// aOutcome is null if it is unknown whether the key was accepted.
void ShowKey(Invocation& aInvocation,
             const std::string& aKey,
             const SettingsOutcome* aOutcome)
{
  if (aInvocation.mIsJson) {
    json::object body;
    body["account"] = aInvocation.mArguments[0];
    body["name"] = aInvocation.mArguments[1];
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
  aInvocation.ErrorOut()
    << "Keep this key; it is not stored and cannot be shown "
       "again.\n";
}

Result<SettingsOutcome> StoreDigest(Invocation& aInvocation,
                                    const std::string& aDigest)
{
  const std::string& account = aInvocation.mArguments[0];
  const std::string& name = aInvocation.mArguments[1];
  auto base = ReadSettings(aInvocation.mClient);
  if (!base) {
    return tl::unexpected(base.error());
  }
  // "/-" appends to an existing list only; an account without keys needs a new
  // list.
  const std::string path = "accounts/" + account + "/keys";
  const std::string key = "{name: " + name + ", digest: " + aDigest + "}";
  const bool hasList = ReadSetting(base->mText, path).has_value();
  auto document = hasList ? EditSetting(base->mText, path + "/-", key)
                          : EditSetting(base->mText, path, "[" + key + "]");
  if (!document) {
    return tl::unexpected(document.error());
  }
  const std::string summary = aInvocation.OptionValue("summary");
  const std::string defaultSummary = "issue key " + account + "/" + name;
  return WriteSettings(aInvocation,
                       { .mBase = std::move(*base),
                         .mDocument = std::move(*document),
                         .mSummary = summary.empty() ? defaultSummary : summary,
                         .mFile = {},
                         // The digest is useless without the key.
                         .mSaveOnFailure = false });
}

bool IsValidName(const std::string& aName)
{
  const auto isAllowed = [](unsigned char aByte) {
    return std::isalnum(aByte) || aByte == '.' || aByte == '_' || aByte == '-';
  };
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), isAllowed);
}

/// Rejects invalid and duplicate names before a key is generated, as the daemon
/// would do afterwards.
Result<void> RequireNewKey(const Invocation& aInvocation)
{
  if (!IsValidName(aInvocation.mArguments[1])) {
    return MakeError(
      ResultCode::InvalidArgument,
      "a key name may contain only letters, digits, '.', '_' and '-'");
  }
  const auto base = ReadSettings(aInvocation.mClient);
  if (!base) {
    return tl::unexpected(base.error());
  }
  const auto settings = ParseSettings(base->mText, base->mRevision);
  if (!settings) {
    return tl::unexpected(settings.error());
  }
  const AccountId account(aInvocation.mArguments[0]);
  const auto known = RequireAccount(**settings, account);
  if (known && FindKey(**settings, account, aInvocation.mArguments[1])) {
    return MakeError(ResultCode::InvalidArgument,
                     "the client account already has a key '" +
                       aInvocation.mArguments[1] + "'; use another name");
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
  const auto digest =
    RequestKeyDigest(aInvocation, aInvocation.mArguments[0], *key);
  if (!digest) {
    return tl::unexpected(digest.error());
  }
  const auto outcome = StoreDigest(aInvocation, *digest);
  if (!outcome) {
    // Print the key if it may have been accepted, as it cannot be recovered.
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
  const std::string& account = aInvocation.mArguments[0];
  const std::string& name = aInvocation.mArguments[1];
  const std::string summary = aInvocation.OptionValue("summary");
  const std::string defaultSummary = "withdraw key " + account + "/" + name;
  return ChangeSettings(
    aInvocation,
    summary.empty() ? defaultSummary : summary,
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
    if (aInvocation.mArguments.empty() ||
        id.mName == aInvocation.mArguments[0]) {
      accounts.push_back(id);
    }
  }
  if (accounts.empty() && !aInvocation.mArguments.empty()) {
    return RequireAccount(**settings, AccountId(aInvocation.mArguments[0]));
  }
  std::sort(accounts.begin(), accounts.end());
  json::array list;
  Table table({ "ACCOUNT", "KEY", "STATE" });
  for (const AccountId& id : accounts) {
    for (const KeySettings& key : (*settings)->mAccounts.at(id).mKeys) {
      const std::string state = key.mWithdrawn ? "withdrawn" : "valid";
      table.Add({ id.mName, key.mName, state });
      json::object entry;
      entry["account"] = id.mName;
      entry["name"] = key.mName;
      entry["withdrawn"] = key.mWithdrawn;
      list.push_back(std::move(entry));
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
      .mArguments = "ACCOUNT NAME",
      .mMinArguments = 2,
      .mMaxArguments = 2,
      .mHelp =
        "Generates a key for a client account and shows it once.\nOnly the "
        "key's digest is stored.",
      .mAddOptions = &AddSummary,
      .mRun = &RunIssue },
    { .mName = "key withdraw",
      .mArguments = "ACCOUNT NAME",
      .mMinArguments = 2,
      .mMaxArguments = 2,
      .mHelp = "Withdraws a key; all daemons reject it within seconds.",
      .mAddOptions = &AddSummary,
      .mRun = &RunWithdraw },
    { .mName = "key list",
      .mArguments = "[ACCOUNT]",
      .mMaxArguments = 1,
      .mHelp = "Lists the keys by name, with their state.",
      .mRun = &RunList },
  };
  return sCommands;
}

} // namespace cranberrywing::cli
