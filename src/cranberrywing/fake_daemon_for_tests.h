/// \file
/// A daemon's settings API in memory, with faults, for tests of the tool.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "cranberrywing/context.h"
#include "netutil/headers.h"
#include "netutil/problem.h"

namespace cranberrywing::cli {

struct FakeChange
{
  std::uint64_t mRevision = 0;
  std::string mOperation;
};

/// The store and the daemons that answer from it. Not thread-safe.
class FakeDaemon
{
public:
  /// What happens to the next write.
  enum class Fault
  {
    None,
    LostAfterEffect,
    LostBeforeEffect,
    AlwaysLost,
  };

  std::string mDocument;
  std::uint64_t mRevision = 1;
  std::map<std::uint64_t, std::string> mDocuments;
  std::vector<FakeChange> mChanges;
  std::set<std::string> mUnreachable;
  Fault mFault = Fault::None;
  /// Accepted before the next write, as by another operator.
  std::string mOthersDocument;
  std::vector<RequestContent> mRequests;

  explicit FakeDaemon(std::string aDocument)
    : mDocument(std::move(aDocument))
  {
    mDocuments[mRevision] = mDocument;
  }

  Result<AnswerContent> Answer(const netutil::Endpoint& aDaemon,
                               const RequestContent& aRequest)
  {
    if (mUnreachable.contains(netutil::ToString(aDaemon))) {
      return MakeError(ResultCode::PeerUnreachable, "connection refused");
    }
    mRequests.push_back(aRequest);
    const std::string& target = aRequest.mTarget;
    if (aRequest.mMethod == "PUT") {
      return Put(aRequest);
    }
    if (target == "/v1/settings") {
      return Document(mDocument, mRevision);
    }
    if (target == "/v1/settings/history") {
      return History();
    }
    if (target.starts_with("/v1/settings/revision?number=")) {
      const auto number = std::stoull(target.substr(target.find('=') + 1));
      return Document(mDocuments.at(number), number);
    }
    if (target.ends_with("/keys")) {
      return Json(
        { { "digest", std::string(64, static_cast<char>('a' + mDigests++)) } });
    }
    return *netutil::MakeProblemResponse(
      Error{ ResultCode::UnknownRoute, target });
  }

  void Accept(const std::string& aDocument, const std::string& aOperation)
  {
    mDocument = aDocument;
    mDocuments[++mRevision] = aDocument;
    mChanges.push_back({ mRevision, aOperation });
  }

private:
  int mDigests = 0;

  static AnswerContent Json(const boost::json::object& aBody)
  {
    return *netutil::MakeJsonResponse(200, aBody);
  }

  static AnswerContent Document(const std::string& aText,
                                std::uint64_t aRevision)
  {
    return { 200,
             { { "ETag", "\"" + std::to_string(aRevision) + "\"" } },
             aText };
  }

  AnswerContent History() const
  {
    boost::json::array changes;
    for (const FakeChange& change : mChanges) {
      changes.push_back({ { "revision", change.mRevision },
                          { "operation", change.mOperation } });
    }
    return Json({ { "changes", std::move(changes) } });
  }

  Result<AnswerContent> Put(const RequestContent& aRequest)
  {
    if (!mOthersDocument.empty()) {
      Accept(std::exchange(mOthersDocument, {}), "others");
    }
    const Fault fault = mFault;
    if (fault != Fault::AlwaysLost) {
      mFault = Fault::None;
    }
    const auto lost = MakeError(ResultCode::OutcomeUnknown, "connection lost");
    if (fault == Fault::LostBeforeEffect || fault == Fault::AlwaysLost) {
      return lost;
    }
    const std::string tag = "\"" + std::to_string(mRevision) + "\"";
    if (*netutil::FindHeader(aRequest.mHeaders, "If-Match") != tag) {
      return fault == Fault::None
               ? Result<AnswerContent>(*netutil::MakeProblemResponse(
                   Error{ ResultCode::RevisionConflict, "conflict" }))
               : lost;
    }
    Accept(aRequest.mBody,
           *netutil::FindHeader(aRequest.mHeaders, "Idempotency-Key"));
    if (fault == Fault::LostAfterEffect) {
      return lost;
    }
    return Json({ { "revision", mRevision } });
  }
};

/// Runs the tool against a fake daemon and keeps what it wrote.
class ToolRun
{
public:
  explicit ToolRun(FakeDaemon& aDaemon)
    : mDaemon(aDaemon)
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "cw-cli-XXXXXX").string();
    mFolder = ::mkdtemp(pattern.data());
  }
  ~ToolRun() { std::filesystem::remove_all(mFolder); }
  ToolRun(const ToolRun&) = delete;
  ToolRun& operator=(const ToolRun&) = delete;

  int Run(const std::vector<std::string>& aArguments)
  {
    mOut.str("");
    mError.str("");
    const Context context{
      .mOut = mOut,
      .mError = mError,
      .mTransport =
        [this](const netutil::Endpoint& aDaemon,
               const RequestContent& aRequest,
               Duration) { return mDaemon.Answer(aDaemon, aRequest); },
      .mSleep = [](Duration) {},
      .mDaemons = "127.0.0.1:1,127.0.0.1:2",
      .mToken = "token-of-an-operator",
      .mKeepDirectory = mFolder,
    };
    return RunTool(aArguments, context);
  }

  std::string Out() const { return mOut.str(); }
  std::string Errors() const { return mError.str(); }
  const std::string& Folder() const { return mFolder; }

private:
  FakeDaemon& mDaemon;
  std::string mFolder;
  std::ostringstream mOut;
  std::ostringstream mError;
};

} // namespace cranberrywing::cli
