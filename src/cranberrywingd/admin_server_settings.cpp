#include <openssl/rand.h>

#include "cranberrywing/keys.h"
#include "cranberrywing/parse_number.h"
#include "cranberrywingd/admin_server.h"
#include "netutil/json.h"
#include "netutil/problem.h"

namespace cranberrywing::daemon {

namespace json = boost::json;

namespace {

constexpr std::size_t kGeneratedKeyBytes = 24;
constexpr std::size_t kOperationIdBytes = 16;
/// Characters. Shorter keys could be guessed.
constexpr std::size_t kMinKeyLength = 16;

AnswerContentPtr DocumentAnswer(std::string_view aDocument, Revision aRevision)
{
  AnswerContent answer;
  answer.mStatus = 200;
  answer.mHeaders = { { "Content-Type", "application/yaml" },
                      { "ETag", EntityTag(aRevision) } };
  answer.mBody = RedactSecrets(aDocument);
  return std::make_shared<const AnswerContent>(std::move(answer));
}

json::array HistoryView(const ConfigurationRecord& aRecord)
{
  json::array changes;
  for (const AcceptedChange& change : aRecord.mChanges) {
    json::object view;
    view["revision"] = change.mRevision.mNumber;
    view["operator"] = change.mOperator;
    view["summary"] = change.mSummary;
    view["operation"] = change.mOperation.mName;
    changes.push_back(std::move(view));
  }
  return changes;
}

} // namespace

std::string RandomHex(std::size_t aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::vector<unsigned char> bytes(aBytes);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    // Terminating is safer than issuing a predictable key.
    std::abort();
  }
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

void AdminServer::GetSettings(const Call& aCall)
{
  const ActiveDocument active = GetActiveDocument();
  Answer(aCall, DocumentAnswer(active.mDocument, active.mSnapshot->mRevision));
}

void AdminServer::PutSettings(const Call& aCall)
{
  const ActiveDocument active = GetActiveDocument();
  PreparedEdit prepared =
    PrepareEdit(aCall.mRequest, active, RandomHex(kOperationIdBytes));
  if (prepared.mRefusal) {
    Answer(aCall, prepared.mRefusal);
    return;
  }
  const AdminRequestId id{ mNextEdit++ };
  mEdits[id] = { aCall.mExchange, prepared.mEdit.mDocument };
  mSink(
    event::EditRequested{ .mRequest = id, .mEdit = std::move(prepared.mEdit) });
}

void AdminServer::Execute(const effect::AnswerEdit& aEffect)
{
  const auto it = mEdits.find(aEffect.mRequest);
  if (it == mEdits.end()) {
    return;
  }
  const PendingEdit edit = std::move(it->second);
  mEdits.erase(it);
  if (aEffect.mCode == ResultCode::RevisionConflict) {
    mServer.Answer(
      edit.mExchange,
      ConflictAnswer(edit.mDocument, GetActiveDocument(), aEffect.mMessage),
      {});
    return;
  }
  if (aEffect.mCode != ResultCode::Ok) {
    mServer.Answer(
      edit.mExchange,
      netutil::MakeProblemResponse(Error{ aEffect.mCode, aEffect.mMessage }),
      {});
    return;
  }
  json::object body;
  body["revision"] = aEffect.mRevision.mNumber;
  mServer.Answer(
    edit.mExchange,
    netutil::MakeJsonResponse(200, body),
    { .mCloseAfter = false,
      .mExtraHeaders = { { "ETag", EntityTag(aEffect.mRevision) } } });
}

void AdminServer::CheckSettings(const Call& aCall)
{
  const auto checked = CheckDocument(aCall.mRequest.mBody, GetActiveDocument());
  if (!checked) {
    Answer(aCall, netutil::MakeProblemResponse(checked.error()));
    return;
  }
  json::object body;
  body["revision"] = GetActiveDocument().mSnapshot->mRevision.mNumber;
  body["changes"] = EncodeChanges(checked->mChanges);
  Answer(aCall, netutil::MakeJsonResponse(200, body));
}

void AdminServer::ReadRecord(
  const Call& aCall,
  std::string aKey,
  std::function<void(const ConfigurationRecord&)> aHandler)
{
  StoreTxn txn;
  txn.mReads.push_back(
    { .mKey = std::move(aKey), .mRangeEnd = {}, .mLimit = 0 });
  mSources.mStore.Call(
    StoreCall{
      .mTxn = std::move(txn), .mGrant = {}, .mKeepAlive = {}, .mRevoke = {} },
    [this, call = aCall, handler = std::move(aHandler)](
      Result<StoreReply> aReply) {
      if (!aReply) {
        Answer(call, netutil::MakeProblemResponse(aReply.error()));
        return;
      }
      if (aReply->mEntries.empty()) {
        AnswerError(call,
                    ResultCode::UnknownNode,
                    "the store has no record of this settings revision");
        return;
      }
      const auto record = DecodeRecord(aReply->mEntries.front().mValue);
      if (!record) {
        Answer(call, netutil::MakeProblemResponse(record.error()));
        return;
      }
      handler(*record);
    });
}

void AdminServer::GetHistory(const Call& aCall)
{
  ReadRecord(aCall,
             ConfigurationRootKey(mSources.mStorePrefix),
             [this, call = aCall](const ConfigurationRecord& aRecord) {
               json::object body;
               body["changes"] = HistoryView(aRecord);
               Answer(call, netutil::MakeJsonResponse(200, body));
             });
}

void AdminServer::GetRevision(const Call& aCall)
{
  const auto number = ParseNumber<std::uint64_t>(aCall.Parameter("number"));
  if (!number) {
    AnswerError(aCall,
                ResultCode::InvalidArgument,
                "query parameter number must be a settings revision");
    return;
  }
  ReadRecord(aCall,
             ConfigurationHistoryKey(mSources.mStorePrefix, { *number }),
             [this, call = aCall](const ConfigurationRecord& aRecord) {
               Answer(
                 call,
                 DocumentAnswer(aRecord.mDocument, aRecord.mVersion.mRevision));
             });
}

void AdminServer::PostKey(const Call& aCall)
{
  const std::string& pepper = GetActiveDocument().mSnapshot->mFleet.mKeyPepper;
  if (pepper.empty()) {
    AnswerError(
      aCall, ResultCode::InvalidSettings, "fleet/key_pepper is not set");
    return;
  }
  std::string key = RandomHex(kGeneratedKeyBytes);
  if (!aCall.mRequest.mBody.empty()) {
    const auto body = netutil::ParseObject(aCall.mRequest.mBody);
    if (!body) {
      Answer(aCall, netutil::MakeProblemResponse(body.error()));
      return;
    }
    key = netutil::FindString(*body, "key");
  }
  if (key.size() < kMinKeyLength) {
    AnswerError(aCall,
                ResultCode::InvalidArgument,
                "a key or token must have at least 16 characters");
    return;
  }
  json::object body;
  body["key"] = key;
  body["digest"] = DigestKey(key, pepper).mHex;
  Answer(aCall, netutil::MakeJsonResponse(200, body));
}

void AdminServer::PostBlocks(const Call& aCall)
{
  // Shards take effect only when the settings refer to them, so the role that
  // may change client_blocks/shards is sufficient for uploading them.
  const auto identity = IdentifyOperator(*GetActiveDocument().mSnapshot,
                                         BearerToken(aCall.mRequest));
  const auto role =
    identity ? CheckRole(*identity, { { "client_blocks/shards", "", "" } })
             : tl::unexpected(identity.error());
  if (!role) {
    Answer(aCall, netutil::MakeProblemResponse(role.error()));
    return;
  }
  const ExchangeId exchange = aCall.mExchange;
  mUploader.Start(
    aCall.mRequest.mBody,
    [this, exchange](const Result<std::vector<ContentDigest>>& aDigests) {
      if (!aDigests) {
        mServer.Answer(
          exchange, netutil::MakeProblemResponse(aDigests.error()), {});
        return;
      }
      json::array shards;
      for (const ContentDigest& digest : *aDigests) {
        shards.emplace_back(DigestText(digest));
      }
      json::object body;
      body["shards"] = std::move(shards);
      mServer.Answer(exchange, netutil::MakeJsonResponse(200, body), {});
    });
}

} // namespace cranberrywing::daemon
