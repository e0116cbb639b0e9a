#include <catch2/catch.hpp>
#include <fstream>

#include "cranberrywing/fake_daemon_for_tests.h"
#include "cranberrywing/kept_file.h"
#include "cranberrywing/timeline_merge.h"
#include "netutil/program.h"

using namespace cranberrywing;
using namespace cranberrywing::cli;

namespace {

const std::string kDocument = R"(format: 1
fleet: {key_pepper: hidden:fleet/key_pepper}
accounts:
  shops: {rate: 10, burst: 5}
root: {timeout: 5s}
)";

const std::string kConcurrentDocument = R"(format: 1
fleet: {key_pepper: hidden:fleet/key_pepper}
accounts:
  shops: {rate: 99, burst: 5}
root: {timeout: 5s}
)";

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::size_t CountPuts(const FakeDaemon& aDaemon,
                      std::set<std::string>& aOperations)
{
  std::size_t count = 0;
  for (const RequestContent& request : aDaemon.mRequests) {
    if (request.mMethod == "PUT") {
      ++count;
      aOperations.insert(
        *netutil::FindHeader(request.mHeaders, "Idempotency-Key"));
    }
  }
  return count;
}

} // namespace

// Guards against invalid arguments that are ignored or rejected without an
// explanation.
TEST_CASE("invalid arguments are rejected with a message and exit status 2")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  const auto expectRejected =
    [&tool](const std::vector<std::string>& aArguments,
            const std::string& aHint) {
      CHECK(tool.Run(aArguments) == 2);
      INFO(tool.Errors());
      CHECK(Contains(tool.Errors(), aHint));
    };
  expectRejected({ "sttus" }, "there is no command 'sttus'");
  expectRejected({ "settings" }, "needs one of: get, set");
  expectRejected({ "settings", "set", "a" }, "VALUE or --remove");
  expectRejected({ "settings", "get", "a", "b" }, "does not take 'b'");
  expectRejected({ "status", "--colour" }, "colour");
  expectRejected({ "status", "--daemon", "localhost:1" }, "--daemon");
  expectRejected({ "status", "--timeout", "5" }, "--timeout");
  expectRejected({ "account", "add", "x" }, "--rate and --burst");
  expectRejected({ "shift", "s", "--pause", "--remove" }, "mutually exclusive");
  expectRejected({ "settings", "diff" }, "FILE or --from");
  expectRejected({ "key", "issue", "shops", "a, b: c" }, "name");
  CHECK(daemon.mRequests.empty());
}

// Guards against splitting values at commas.
TEST_CASE("a value may be a YAML list or map")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  CHECK(tool.Run({ "settings",
                   "set",
                   "accounts/clinics",
                   "{rate: 1, burst: 2, weight: 3}" }) == 0);
  CHECK(Contains(tool.Out(), "accounts/clinics/weight"));
  CHECK(tool.Run({ "account", "show", "clinics", "--json" }) == 0);
  CHECK(Contains(tool.Out(), "\"weight\":3"));
}

// Guards against a tool that stops working while one VM is down.
TEST_CASE("the next daemon is tried if one is unreachable")
{
  FakeDaemon daemon(kDocument);
  daemon.mUnreachable = { "127.0.0.1:1" };
  ToolRun tool(daemon);
  CHECK(tool.Run({ "settings", "set", "root/timeout", "6s" }) == 0);
  CHECK(Contains(daemon.mDocument, "6s"));
  daemon.mUnreachable.insert("127.0.0.1:2");
  CHECK(tool.Run({ "settings", "get" }) == 5);
  CHECK(Contains(tool.Errors(), "127.0.0.1:2"));
}

// Guards against losing an edit, and against silently reverting another
// operator's change.
TEST_CASE("a conflict shows the other change and saves the edit to a file")
{
  FakeDaemon daemon(kDocument);
  daemon.mConcurrentDocument = kConcurrentDocument;
  ToolRun tool(daemon);
  CHECK(tool.Run({ "settings", "set", "root/timeout", "6s" }) == 6);
  CHECK(Contains(tool.Errors(), "accounts/shops/rate  10      99"));
  CHECK(daemon.mDocument == kConcurrentDocument);
  const auto savedPath =
    std::filesystem::directory_iterator(tool.Folder())->path();
  CHECK(Contains(tool.Errors(), savedPath.string()));
  const auto marked = ParseRevisionMark(*netutil::ReadFile(savedPath.string()));
  CHECK(marked.mRevision == Revision{ 1 });
  CHECK(Contains(marked.mDocument, "6s"));
  CHECK(
    std::filesystem::status(savedPath).permissions() ==
    (std::filesystem::perms::owner_read | std::filesystem::perms::owner_write));
  // The saved file is still based on revision 1.
  CHECK(tool.Run({ "settings", "apply", savedPath.string() }) == 6);
  CHECK(daemon.mDocument == kConcurrentDocument);
}

// Guards against reporting a change that took effect as a conflict with itself,
// and against executing one twice.
TEST_CASE("an unknown outcome is resolved before it is reported")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  std::set<std::string> operations;
  SECTION("accepted")
  {
    daemon.mFault = FakeDaemon::Fault::LostAfterEffect;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 0);
    CHECK(Contains(tool.Out(), "accepted as revision 2"));
    CHECK(CountPuts(daemon, operations) == 1);
  }
  SECTION("not executed, so it is repeated with the same operation id")
  {
    daemon.mFault = FakeDaemon::Fault::LostBeforeEffect;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 0);
    CHECK(CountPuts(daemon, operations) == 2);
    CHECK(operations.size() == 1);
    CHECK(daemon.mRevision == 2);
  }
  SECTION("another change was accepted first")
  {
    daemon.mConcurrentDocument = kConcurrentDocument;
    daemon.mFault = FakeDaemon::Fault::LostBeforeEffect;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 6);
    CHECK(Contains(tool.Errors(), "revision_conflict"));
    CHECK(CountPuts(daemon, operations) == 1);
  }
  SECTION("the outcome remains unknown")
  {
    daemon.mFault = FakeDaemon::Fault::AlwaysLost;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 6);
    CHECK(Contains(tool.Errors(), "outcome_unknown"));
    CountPuts(daemon, operations);
    CHECK(operations.size() == 1);
    CHECK(Contains(tool.Errors(), *operations.begin()));
  }
}

// Guards against storing keys in the settings, and against showing a key that
// no daemon accepts.
TEST_CASE("an issued key is shown once and stored as a digest")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  REQUIRE(tool.Run({ "key", "issue", "shops", "k1" }) == 0);
  const std::string key = tool.Out().substr(4, 64);
  CHECK(key.find_first_not_of("0123456789abcdef") == std::string::npos);
  CHECK_FALSE(Contains(daemon.mDocument, key));
  CHECK(Contains(daemon.mDocument, std::string(64, 'a')));
  CHECK(tool.Run({ "key", "list" }) == 0);
  CHECK_FALSE(Contains(tool.Out(), key));
  CHECK(tool.Run({ "key", "issue", "shops", "k1" }) == 2);
  CHECK(tool.Run({ "key", "issue", "nobody", "k1" }) == 2);
  CHECK(tool.Run({ "key", "withdraw", "shops", "k1" }) == 0);
  CHECK(Contains(daemon.mDocument, "withdrawn: true"));
  daemon.mConcurrentDocument = kConcurrentDocument;
  CHECK(tool.Run({ "key", "issue", "shops", "k2" }) == 6);
  CHECK(tool.Out().empty());
}

// Guards against exposing secrets on the screen and in build logs.
TEST_CASE("secrets are never shown")
{
  const std::string secret = "pepper-that-nobody-may-see";
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  const std::string path = tool.Folder() + "/new.yaml";
  std::string edited = kDocument;
  edited.replace(edited.find("hidden:fleet/key_pepper"), 23, secret);
  std::ofstream(path) << edited;
  const auto expectRedacted = [&](const std::vector<std::string>& aArguments) {
    tool.Run(aArguments);
    CHECK_FALSE(Contains(tool.Out() + tool.Errors(), secret));
    CHECK(Contains(tool.Out(), "(hidden)"));
  };
  expectRedacted({ "settings", "diff", path });
  expectRedacted({ "settings", "diff", path, "--json" });
  expectRedacted({ "settings", "apply", path, "--base", "newest" });
  expectRedacted({ "settings", "diff", "--from", "1", "--to", "2", "--json" });
  expectRedacted({ "settings", "get", "fleet/key_pepper" });
  tool.Run({ "settings", "get" });
  CHECK_FALSE(Contains(tool.Out() + tool.Errors(), "token-of-an-operator"));
}

// Guards against applying a file over changes that its author has not seen.
TEST_CASE("a file is applied only against the revision it was made from")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  const std::string path = tool.Folder() + "/edit.yaml";
  REQUIRE(tool.Run({ "settings", "edit", "--out", path }) == 0);
  CHECK(tool.Run({ "settings", "edit", "--out", path }) == 2);
  CHECK(tool.Run({ "settings", "apply", path }) == 0);
  CHECK(daemon.mRevision == 1);
  std::ofstream(path) << kConcurrentDocument;
  CHECK(tool.Run({ "settings", "apply", path }) == 2);
  CHECK(Contains(tool.Errors(), "--base"));
  CHECK(tool.Run({ "settings", "check", path }) == 0);
  CHECK(tool.Run({ "settings", "apply", path, "--base", "1" }) == 0);
  CHECK(tool.Run({ "settings", "revert", "1" }) == 0);
  CHECK(daemon.mDocument == kDocument);
  CHECK(daemon.mRevision == 3);
}

// Guards against an order that depends on which daemon responds first, and
// against effects that precede their causes when a clock is set back.
TEST_CASE("timelines are merged by wall time, VM and sequence number")
{
  const auto row =
    [](std::int64_t aMs, const char* aVm, std::uint64_t aNumber) {
      TimelineRow entry;
      entry.mWallMs = aMs;
      entry.mVm = aVm;
      entry.mNumber = aNumber;
      return entry;
    };
  std::vector<TimelineRow> rows{ row(50, "b", 1), row(50, "a", 2),
                                 row(50, "a", 1), row(20, "a", 3),
                                 row(40, "b", 0), row(50, "a", 2) };
  MergeTimelines(rows);
  std::string order;
  for (const TimelineRow& entry : rows) {
    order += entry.mVm + std::to_string(entry.mNumber) + " ";
  }
  CHECK(order == "b0 a1 a2 a3 b1 ");
  CHECK(FormatWallTime(1'700'000'000'007) == "2023-11-14T22:13:20.007Z");
}
