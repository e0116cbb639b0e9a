#include "cranberrywing/configuration.h"

#include <bit>

#include "cranberrywing/settings.h"

namespace cranberrywing {

namespace {

/// Number of documents cached as bases of deltas. Peers fetch a new revision
/// within seconds, so only the last few revisions are requested.
constexpr std::size_t kMaxCachedDocuments = 4;

effect::RecordTimeline Record(std::string_view aName,
                              const ConfigurationVersion& aVersion,
                              std::string_view aDetailName,
                              std::string_view aDetail)
{
  return { std::string(aName),
           { { "revision", std::to_string(aVersion.mRevision.mNumber) },
             { "digest", ToHex(aVersion.mDigest) },
             { std::string(aDetailName), std::string(aDetail) } } };
}

} // namespace

Configuration::Configuration(Options aOptions, ConfigurationHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mRandom(mOptions.mSeed)
  , mCurrent(std::make_shared<SettingsSnapshot>())
{
}

ConfigurationVersion Configuration::Version() const
{
  return { mCurrent->mRevision, mCurrent->mDigest };
}

std::optional<Duration> Configuration::StoreContactAge(TimePoint aNow) const
{
  if (!mStoreContact) {
    return std::nullopt;
  }
  return aNow - *mStoreContact;
}

std::string Configuration::RootKey() const
{
  return ConfigurationRootKey(mOptions.mStorePrefix);
}

Duration Configuration::Jitter(Duration aDelay)
{
  const Duration half = aDelay / 2;
  std::uniform_int_distribution<Duration::rep> spread(0, half.count());
  return half + Duration(spread(mRandom));
}

Duration Configuration::Backoff(Duration aMinDelay,
                                Duration aMaxDelay,
                                std::uint32_t aFailures)
{
  constexpr std::uint32_t kMaxDoublings = 10;
  const auto factor = 1u << std::min(aFailures, kMaxDoublings);
  return Jitter(std::min(aMaxDelay, aMinDelay * factor));
}

void Configuration::Start(TimePoint aNow, EffectList& aOut)
{
  mStarted = aNow;
  if (!mOptions.mInitialDocument.empty()) {
    const auto settings = ParseSettings(mOptions.mInitialDocument, Revision());
    if (settings) {
      mCurrent = *settings;
      mDocument = mOptions.mInitialDocument;
    } else {
      aOut.push_back(Record(
        "configuration_unusable", {}, "error", settings.error().mMessage));
    }
  }
  aOut.push_back(effect::ConfigurationInForce{ mCurrent });
  SyncWithStore(aNow, aOut);
}

void Configuration::Tick(TimePoint aNow, EffectList& aOut)
{
  SyncWithStore(aNow, aOut);
  CheckFetch(aNow, aOut);
  CheckEdits(aNow, aOut);
}

void Configuration::CacheDocument()
{
  if (mCurrent->mRevision == Revision()) {
    return;
  }
  if (mCachedDocuments.size() == kMaxCachedDocuments) {
    mCachedDocuments.erase(mCachedDocuments.begin());
  }
  mCachedDocuments.push_back({ Version(), mDocument });
}

bool Configuration::Activate(const ConfigurationVersion& aVersion,
                             const std::string& aDocument,
                             std::string_view aSource,
                             TimePoint aNow,
                             EffectList& aOut)
{
  if (aVersion.mRevision <= mCurrent->mRevision ||
      aVersion == mRejectedVersion) {
    return false;
  }
  const auto settings = ParseSettings(aDocument, aVersion.mRevision);
  if (!settings) {
    // A daemon of another version may have accepted a document that this one
    // cannot parse. Keeping the active configuration is the safe choice.
    mRejectedVersion = aVersion;
    aOut.push_back(Record(
      "configuration_unusable", aVersion, "error", settings.error().mMessage));
    return false;
  }
  mCurrent = *settings;
  mDocument = aDocument;
  mInForceSince = aNow;
  mStoreBehind.reset();
  CacheDocument();
  std::erase_if(mNewerPeers, [this](const NewerPeer& aPeer) {
    return aPeer.mVersion.mRevision <= mCurrent->mRevision;
  });
  aOut.push_back(Record("configuration_in_force", aVersion, "source", aSource));
  aOut.push_back(effect::ConfigurationInForce{ mCurrent });
  OfferToPeers(aOut);
  return true;
}

void Configuration::OfferToPeers(EffectList& aOut)
{
  const std::size_t members = std::max<std::size_t>(1, mHooks.mMemberCount());
  const std::size_t count = std::bit_width(members) - 1 + 2;
  for (const VmId& peer : mHooks.mPickPeers(count)) {
    effect::SendMessage send;
    send.mTo = peer;
    send.mMessage = message::ConfigurationOffer{ Version() };
    aOut.push_back(std::move(send));
  }
}

void Configuration::ReportStoreBehind(const ConfigurationVersion& aStore,
                                      EffectList& aOut)
{
  if (mStoreBehind == aStore) {
    return;
  }
  mStoreBehind = aStore;
  aOut.push_back(Record("configuration_store_behind",
                        aStore,
                        "in_force",
                        std::to_string(mCurrent->mRevision.mNumber)));
}

} // namespace cranberrywing
