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

const std::string kOthersDocument = R"(format: 1
fleet: {key_pepper: hidden:fleet/key_pepper}
accounts:
  shops: {rate: 99, burst: 5}
root: {timeout: 5s}
)";

bool Holds(const std::string& aText, const std::string& aPart)
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

// Guards against wrong arguments that are ignored or end without a hint.
TEST_CASE("wrong arguments give a message and exit status 2")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  const auto refuses = [&tool](const std::vector<std::string>& aArguments,
                               const std::string& aHint) {
    CHECK(tool.Run(aArguments) == 2);
    INFO(tool.Errors());
    CHECK(Holds(tool.Errors(), aHint));
  };
  refuses({ "sttus" }, "there is no command 'sttus'");
  refuses({ "settings" }, "needs one of: get, set");
  refuses({ "settings", "set", "a" }, "VALUE or --remove");
  refuses({ "settings", "get", "a", "b" }, "does not take 'b'");
  refuses({ "status", "--colour" }, "colour");
  refuses({ "status", "--daemon", "localhost:1" }, "--daemon");
  refuses({ "status", "--timeout", "5" }, "--timeout");
  refuses({ "account", "add", "x" }, "--rate and --burst");
  refuses({ "shift", "s", "--pause", "--remove" }, "exclude");
  refuses({ "settings", "diff" }, "FILE or --from");
  refuses({ "key", "issue", "shops", "a, b: c" }, "name");
  CHECK(daemon.mRequests.empty());
}

// Guards against values that are split at their commas.
TEST_CASE("a value may be a YAML list or map")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  CHECK(tool.Run({ "settings",
                   "set",
                   "accounts/clinics",
                   "{rate: 1, burst: 2, weight: 3}" }) == 0);
  CHECK(Holds(tool.Out(), "accounts/clinics/weight"));
  CHECK(tool.Run({ "account", "show", "clinics", "--json" }) == 0);
  CHECK(Holds(tool.Out(), "\"weight\":3"));
}

// Guards against a tool that is of no use while one VM is down.
TEST_CASE("the next daemon is asked when one cannot be reached")
{
  FakeDaemon daemon(kDocument);
  daemon.mUnreachable = { "127.0.0.1:1" };
  ToolRun tool(daemon);
  CHECK(tool.Run({ "settings", "set", "root/timeout", "6s" }) == 0);
  CHECK(Holds(daemon.mDocument, "6s"));
  daemon.mUnreachable.insert("127.0.0.1:2");
  CHECK(tool.Run({ "settings", "get" }) == 5);
  CHECK(Holds(tool.Errors(), "127.0.0.1:2"));
}

// Guards against an edit that is lost, or that silently undoes another one.
TEST_CASE("a conflict shows the other change and keeps the edit")
{
  FakeDaemon daemon(kDocument);
  daemon.mOthersDocument = kOthersDocument;
  ToolRun tool(daemon);
  CHECK(tool.Run({ "settings", "set", "root/timeout", "6s" }) == 6);
  CHECK(Holds(tool.Errors(), "accounts/shops/rate  10      99"));
  CHECK(daemon.mDocument == kOthersDocument);
  const auto kept = std::filesystem::directory_iterator(tool.Folder())->path();
  CHECK(Holds(tool.Errors(), kept.string()));
  const auto marked = ReadRevisionMark(*netutil::ReadFile(kept.string()));
  CHECK(marked.mRevision == Revision{ 1 });
  CHECK(Holds(marked.mDocument, "6s"));
  CHECK(
    std::filesystem::status(kept).permissions() ==
    (std::filesystem::perms::owner_read | std::filesystem::perms::owner_write));
  // The kept file still counts as made from revision 1.
  CHECK(tool.Run({ "settings", "apply", kept.string() }) == 6);
  CHECK(daemon.mDocument == kOthersDocument);
}

// Guards against a change that took effect and is reported as a conflict with
// itself, and against one that is made twice.
TEST_CASE("an unknown outcome is settled before it is reported")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  std::set<std::string> operations;
  SECTION("accepted")
  {
    daemon.mFault = FakeDaemon::Fault::LostAfterEffect;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 0);
    CHECK(Holds(tool.Out(), "accepted as revision 2"));
    CHECK(CountPuts(daemon, operations) == 1);
  }
  SECTION("nothing happened, so it is sent again as the same operation")
  {
    daemon.mFault = FakeDaemon::Fault::LostBeforeEffect;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 0);
    CHECK(CountPuts(daemon, operations) == 2);
    CHECK(operations.size() == 1);
    CHECK(daemon.mRevision == 2);
  }
  SECTION("another change went first")
  {
    daemon.mOthersDocument = kOthersDocument;
    daemon.mFault = FakeDaemon::Fault::LostBeforeEffect;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 6);
    CHECK(Holds(tool.Errors(), "revision_conflict"));
    CHECK(CountPuts(daemon, operations) == 1);
  }
  SECTION("it stays unknown")
  {
    daemon.mFault = FakeDaemon::Fault::AlwaysLost;
    CHECK(tool.Run({ "account", "set", "shops", "--rate", "20" }) == 6);
    CHECK(Holds(tool.Errors(), "outcome_unknown"));
    CountPuts(daemon, operations);
    CHECK(operations.size() == 1);
    CHECK(Holds(tool.Errors(), *operations.begin()));
  }
}

// Guards against keys in the settings, and against a shown key that no daemon
// knows.
TEST_CASE("an issued key is shown once and stored as digest")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  REQUIRE(tool.Run({ "key", "issue", "shops", "k1" }) == 0);
  const std::string key = tool.Out().substr(4, 64);
  CHECK(key.find_first_not_of("0123456789abcdef") == std::string::npos);
  CHECK_FALSE(Holds(daemon.mDocument, key));
  CHECK(Holds(daemon.mDocument, std::string(64, 'a')));
  CHECK(tool.Run({ "key", "list" }) == 0);
  CHECK_FALSE(Holds(tool.Out(), key));
  CHECK(tool.Run({ "key", "issue", "shops", "k1" }) == 2);
  CHECK(tool.Run({ "key", "issue", "nobody", "k1" }) == 2);
  CHECK(tool.Run({ "key", "withdraw", "shops", "k1" }) == 0);
  CHECK(Holds(daemon.mDocument, "withdrawn: true"));
  daemon.mOthersDocument = kOthersDocument;
  CHECK(tool.Run({ "key", "issue", "shops", "k2" }) == 6);
  CHECK(tool.Out().empty());
}

// Guards against secrets on the screen and in logs of build systems.
TEST_CASE("secrets are never shown")
{
  const std::string secret = "pepper-that-nobody-may-see";
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  const std::string path = tool.Folder() + "/new.yaml";
  std::string edited = kDocument;
  edited.replace(edited.find("hidden:fleet/key_pepper"), 23, secret);
  std::ofstream(path) << edited;
  const auto hides = [&](const std::vector<std::string>& aArguments) {
    tool.Run(aArguments);
    CHECK_FALSE(Holds(tool.Out() + tool.Errors(), secret));
    CHECK(Holds(tool.Out(), "(hidden)"));
  };
  hides({ "settings", "diff", path });
  hides({ "settings", "diff", path, "--json" });
  hides({ "settings", "apply", path, "--base", "newest" });
  hides({ "settings", "diff", "--from", "1", "--to", "2", "--json" });
  hides({ "settings", "get", "fleet/key_pepper" });
  tool.Run({ "settings", "get" });
  CHECK_FALSE(Holds(tool.Out() + tool.Errors(), "token-of-an-operator"));
}

// Guards against a file that is applied over changes nobody has seen.
TEST_CASE("a file is applied only against the revision it was made from")
{
  FakeDaemon daemon(kDocument);
  ToolRun tool(daemon);
  const std::string path = tool.Folder() + "/edit.yaml";
  REQUIRE(tool.Run({ "settings", "edit", "--out", path }) == 0);
  CHECK(tool.Run({ "settings", "edit", "--out", path }) == 2);
  CHECK(tool.Run({ "settings", "apply", path }) == 0);
  CHECK(daemon.mRevision == 1);
  std::ofstream(path) << kOthersDocument;
  CHECK(tool.Run({ "settings", "apply", path }) == 2);
  CHECK(Holds(tool.Errors(), "--base"));
  CHECK(tool.Run({ "settings", "check", path }) == 0);
  CHECK(tool.Run({ "settings", "apply", path, "--base", "1" }) == 0);
  CHECK(tool.Run({ "settings", "revert", "1" }) == 0);
  CHECK(daemon.mDocument == kDocument);
  CHECK(daemon.mRevision == 3);
}

// Guards against an order that depends on which daemon answers first, and
// against causes after their effects when a clock steps back.
TEST_CASE("time lines merge by wall time, VM and sequence number")
{
  const auto row =
    [](std::int64_t aMs, const char* aVm, std::uint64_t aNumber) {
      TimelineRow one;
      one.mWallMs = aMs;
      one.mVm = aVm;
      one.mNumber = aNumber;
      return one;
    };
  std::vector<TimelineRow> rows{ row(50, "b", 1), row(50, "a", 2),
                                 row(50, "a", 1), row(20, "a", 3),
                                 row(40, "b", 0), row(50, "a", 2) };
  MergeTimelines(rows);
  std::string order;
  for (const TimelineRow& one : rows) {
    order += one.mVm + std::to_string(one.mNumber) + " ";
  }
  CHECK(order == "b0 a1 a2 a3 b1 ");
  CHECK(FormatWallTime(1'700'000'000'007) == "2023-11-14T22:13:20.007Z");
}
