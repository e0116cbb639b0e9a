/// \file
/// In-memory daemon with the settings API and injected faults, for tests of the
/// command-line tool.
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

/// An entry of the settings history.
struct FakeChange
{
  std::uint64_t mRevision = 0;
  std::string mOperation;
};

/// The settings store together with the daemons that serve it. Not thread-safe.
class FakeDaemon
{
public:
  /// Fault injected into the next write.
  enum class Fault
  {
    None,
    /// The write is executed, but the response is lost.
    LostAfterEffect,
    /// The request is lost before the write is executed.
    LostBeforeEffect,
    /// As LostBeforeEffect, for this and all further writes.
    AlwaysLost,
  };

  std::string mDocument;
  std::uint64_t mRevision = 1;
  std::map<std::uint64_t, std::string> mDocuments;
  std::vector<FakeChange> mChanges;
  std::set<std::string> mUnreachable;
  Fault mFault = Fault::None;
  /// Document that another operator writes just before the next write.
  std::string mConcurrentDocument;
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
    if (!mConcurrentDocument.empty()) {
      Accept(std::exchange(mConcurrentDocument, {}), "others");
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

/// Runs the tool against a fake daemon and captures its output.
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
      .mRecoveryDirectory = mFolder,
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
