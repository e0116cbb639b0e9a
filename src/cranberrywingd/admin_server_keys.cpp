#include "cranberrywing/keys.h"
#include "cranberrywingd/admin_server.h"
#include "netutil/json.h"
#include "netutil/problem.h"

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

/// Characters. Shorter keys could be guessed.
constexpr std::size_t kMinKeyLength = 16;
constexpr std::string_view kAccountPathPrefix = "/v1/accounts/";
constexpr std::string_view kAccountPathSuffix = "/keys";

/// The account name in a path of the form /v1/accounts/NAME/keys.
std::string AccountOf(std::string_view aPath)
{
  aPath.remove_prefix(kAccountPathPrefix.size());
  aPath.remove_suffix(kAccountPathSuffix.size());
  return std::string(aPath);
}

/// Checks that the operator with this token may add keys to the account.
/// Errors: OperatorUnknown, OperatorForbidden.
Result<void> CheckKeyRole(const SettingsSnapshot& aSettings,
                          const std::string& aToken,
                          const std::string& aAccount)
{
  const auto identity = IdentifyOperator(aSettings, aToken);
  if (!identity) {
    return tl::unexpected(identity.error());
  }
  const SettingsChange change{ .mPath = "accounts/" + aAccount + "/keys",
                               .mBefore = {},
                               .mAfter = {} };
  return CheckRole(*identity, { change });
}

} // namespace

void AdminServer::PostAccountKey(const Call& aCall)
{
  const std::string name = AccountOf(aCall.mTarget.mPath);
  const SettingsSnapshot& settings = *GetActiveDocument().mSnapshot;
  if (!settings.mAccounts.contains(AccountId(name))) {
    AnswerError(aCall,
                ResultCode::UnknownNode,
                "there is no client account '" + name + "'");
    return;
  }
  const auto role = CheckKeyRole(settings, BearerToken(aCall.mRequest), name);
  if (!role) {
    Answer(aCall, netutil::MakeProblemResponse(role.error()));
    return;
  }
  if (settings.mFleet.mKeyPepper.empty()) {
    AnswerError(
      aCall, ResultCode::InvalidSettings, "fleet/key_pepper is not set");
    return;
  }
  const auto requestBody = netutil::ParseObject(aCall.mRequest.mBody);
  const std::string key =
    requestBody ? netutil::FindString(*requestBody, "key") : "";
  if (key.size() < kMinKeyLength) {
    AnswerError(
      aCall,
      ResultCode::InvalidArgument,
      "the body must be {\"key\":\"...\"} with at least 16 characters");
    return;
  }
  json::object body;
  body["account"] = name;
  body["digest"] = DigestKey(key, settings.mFleet.mKeyPepper).mHex;
  Answer(aCall, netutil::MakeJsonResponse(200, body));
}

} // namespace cranberrywing::daemon
