/// \file
/// Messages that distribute configurations between peers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Identifies a configuration. Carried by probes and offers.
struct ConfigurationVersion
{
  Revision mRevision;
  ContentDigest mDigest;

  auto operator<=>(const ConfigurationVersion&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRevision, mDigest);
  }
};

namespace message {

/// Announces the sender's active configuration to a peer.
struct ConfigurationOffer
{
  ConfigurationVersion mVersion;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion);
  }
};

/// Requests the document of a revision.
struct ConfigurationRequest
{
  ConfigurationVersion mVersion;
  /// The sender's active version, as the base of a delta. Revision zero
  /// requests the full document.
  ConfigurationVersion mBase;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mBase);
  }
};

/// Replaces a range of consecutive lines of the base document.
struct LineEdit
{
  std::uint32_t mFirstLine = 0;
  std::uint32_t mRemovedLines = 0;
  std::vector<std::string> mAddedLines;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFirstLine, mRemovedLines, mAddedLines);
  }
};

struct ConfigurationBody
{
  ConfigurationVersion mVersion;
  /// If its revision is zero, mDocument is the full document; otherwise mEdits
  /// apply to this base.
  ConfigurationVersion mBase;
  std::string mDocument;
  std::vector<LineEdit> mEdits;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mBase, mDocument, mEdits);
  }
};

} // namespace message
} // namespace cranberrywing
