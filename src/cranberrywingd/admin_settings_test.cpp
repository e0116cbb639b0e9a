#include "cranberrywingd/admin_settings.h"

#include <catch2/catch.hpp>

#include "cranberrywing/keys.h"
#include "netutil/json.h"

using namespace cranberrywing;
using namespace cranberrywing::daemon;

namespace {

constexpr std::string_view kPepper = "a-pepper-for-tests";

std::string Document()
{
  const auto digest = [](std::string_view aToken) {
    return DigestKey(aToken, kPepper).mHex;
  };
  return "format: 1\n"
         "# a comment that must survive\n"
         "fleet: {key_pepper: a-pepper-for-tests, "
         "ticket_secret: a-secret-for-tests}\n"
         "accounts:\n"
         "  shops: {rate: 10, burst: 10}\n"
         "  clinics: {rate: 10, burst: 10}\n"
         "operators:\n"
         "  ama: {token_digest: " +
         digest("token-of-ama-0001") +
         ", nodes: [\"\"]}\n"
         "  kofi: {token_digest: " +
         digest("token-of-kofi-0001") + ", nodes: [accounts/shops]}\n";
}

struct Fixture
{
  std::string mDocument = Document();
  SettingsSnapshotPtr mSnapshot = *ParseSettings(mDocument, Revision{ 4 });

  PreparedEdit Put(const std::string& aToken,
                   const std::string& aTag,
                   const std::string& aDocument) const
  {
    RequestContent request;
    request.mHeaders = { { "Authorization", "Bearer " + aToken },
                         { "If-Match", aTag } };
    request.mBody = aDocument;
    return PrepareEdit(request, { mSnapshot, mDocument }, "operation");
  }

  std::string With(const std::string& aFrom, const std::string& aTo) const
  {
    std::string shown = RedactSecrets(mDocument);
    return shown.replace(shown.find(aFrom), aFrom.size(), aTo);
  }
};

int CodeOf(const PreparedEdit& aEdit)
{
  if (!aEdit.mRefusal) {
    return 0;
  }
  const auto body = netutil::ParseObject(aEdit.mRefusal->mBody);
  return static_cast<int>(netutil::FindInteger(*body, "code").value_or(-1));
}

} // namespace

// Guards against disclosing secrets through the API, and against storing
// placeholders in their place when a document is written back.
TEST_CASE("secrets are redacted when read and restored when written")
{
  const Fixture fixture;
  const std::string shown = RedactSecrets(fixture.mDocument);
  CHECK(shown.find("pepper-for") == std::string::npos);
  CHECK(shown.find("secret-for") == std::string::npos);
  CHECK(shown.find("# a comment that must survive") != std::string::npos);
  CHECK(RestoreSecrets(shown, fixture.mDocument) == fixture.mDocument);

  const auto edit = fixture.Put(
    "token-of-ama-0001", "\"4\"", fixture.With("rate: 10", "rate: 20"));
  REQUIRE_FALSE(edit.mRefusal);
  CHECK(edit.mEdit.mDocument.find(kPepper) != std::string::npos);
  CHECK(edit.mEdit.mBase == Revision{ 4 });
  CHECK(edit.mEdit.mOperator == "ama");

  const auto changes = CompareSettings(
    fixture.mDocument,
    fixture.With("hidden:fleet/key_pepper", "another-pepper-1"));
  const auto text = EncodeChanges(*changes);
  for (const auto& change : text) {
    CHECK(change.at("before").as_string().find("pepper") ==
          boost::json::string::npos);
  }
}

// Guards against changes outside an operator's subtrees, and against changes
// with an unknown token or none.
TEST_CASE("a role permits changes in its subtrees only")
{
  const Fixture fixture;
  const std::string own = fixture.With("shops: {rate: 10", "shops: {rate: 11");
  const std::string other =
    fixture.With("clinics: {rate: 10", "clinics: {rate: 11");
  CHECK(CodeOf(fixture.Put("token-of-kofi-0001", "\"4\"", own)) == 0);
  CHECK(CodeOf(fixture.Put("token-of-kofi-0001", "\"4\"", other)) ==
        static_cast<int>(ResultCode::OperatorForbidden));
  CHECK(CodeOf(fixture.Put("token-of-nobody-01", "\"4\"", own)) ==
        static_cast<int>(ResultCode::OperatorUnknown));
  CHECK(CodeOf(fixture.Put("", "\"4\"", own)) ==
        static_cast<int>(ResultCode::OperatorUnknown));
  const OperatorIdentity kofi{ "kofi", { "accounts/shops" } };
  CHECK_FALSE(CheckRole(kofi, { { "accounts/shops-2/rate", "1", "2" } }));
  CHECK(CheckRole(kofi, { { "accounts/shops", "1", "2" } }));
}

// Guards against an edit that overwrites a concurrent one, and against an edit
// based on a revision that this VM has not received yet.
TEST_CASE("a write must be based on the newest revision")
{
  const Fixture fixture;
  const std::string document = fixture.With("rate: 10", "rate: 20");
  const auto stale = fixture.Put("token-of-ama-0001", "\"3\"", document);
  CHECK(CodeOf(stale) == static_cast<int>(ResultCode::RevisionConflict));
  CHECK(stale.mRefusal->mStatus == 412);
  CHECK(stale.mRefusal->mBody.find("accounts/shops/rate") != std::string::npos);
  CHECK(CodeOf(fixture.Put("token-of-ama-0001", "\"5\"", document)) ==
        static_cast<int>(ResultCode::NoConfiguration));
  for (const char* tag : { "", "4", "W/\"4\"", "*", "\"\"" }) {
    CHECK(CodeOf(fixture.Put("token-of-ama-0001", tag, document)) ==
          static_cast<int>(ResultCode::InvalidArgument));
  }
}

// Guards against storing a document that no VM could apply.
TEST_CASE("an invalid document is rejected before it is written")
{
  const Fixture fixture;
  CHECK(CodeOf(fixture.Put(
          "token-of-ama-0001", "\"4\"", fixture.With("rate: 10", "rat: 10"))) ==
        static_cast<int>(ResultCode::InvalidSettings));
}
