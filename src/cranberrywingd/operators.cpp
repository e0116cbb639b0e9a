#include "cranberrywingd/operators.h"

#include <algorithm>
#include <openssl/crypto.h>

#include "cranberrywing/keys.h"

namespace cranberrywing::daemon {

namespace {

/// Compares in constant time.
bool IsSameDigest(const KeyDigest& aLeft, const KeyDigest& aRight)
{
  return aLeft.mHex.size() == aRight.mHex.size() &&
         CRYPTO_memcmp(
           aLeft.mHex.data(), aRight.mHex.data(), aLeft.mHex.size()) == 0;
}

/// Whether a path is in the subtree of a node.
bool Covers(std::string_view aNode, std::string_view aPath)
{
  return aNode.empty() || aPath == aNode ||
         (aPath.starts_with(aNode) && aPath[aNode.size()] == '/');
}

} // namespace

Result<OperatorIdentity> IdentifyOperator(const SettingsSnapshot& aSettings,
                                          std::string_view aToken)
{
  if (aSettings.mOperators.empty()) {
    return OperatorIdentity{ "unnamed", { "" } };
  }
  if (aToken.empty()) {
    return MakeError(ResultCode::OperatorUnknown,
                     "an operator token is required in Authorization: Bearer");
  }
  const KeyDigest digest = DigestKey(aToken, aSettings.mFleet.mKeyPepper);
  for (const OperatorSettings& one : aSettings.mOperators) {
    if (IsSameDigest(one.mTokenDigest, digest)) {
      return OperatorIdentity{ one.mName, one.mNodes };
    }
  }
  return MakeError(ResultCode::OperatorUnknown, "no operator has this token");
}

Result<void> CheckRole(const OperatorIdentity& aOperator,
                       const std::vector<SettingsChange>& aChanges)
{
  for (const SettingsChange& change : aChanges) {
    const bool isCovered = std::any_of(aOperator.mNodes.begin(),
                                       aOperator.mNodes.end(),
                                       [&change](const std::string& aNode) {
                                         return Covers(aNode, change.mPath);
                                       });
    if (!isCovered) {
      return MakeError(ResultCode::OperatorForbidden,
                       "the role of " + aOperator.mName + " does not cover " +
                         change.mPath);
    }
  }
  return {};
}

} // namespace cranberrywing::daemon
