/// \file
/// Peer messages that spread configurations.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranberrywing/types.h"

namespace cranberrywing {

/// Names a configuration. Carried in probes and in offers.
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

/// Tells a peer of a revision that the sender has in force.
struct ConfigurationOffer
{
  ConfigurationVersion mVersion;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion);
  }
};

/// Asks for the body of a revision.
struct ConfigurationRequest
{
  ConfigurationVersion mVersion;
  /// The version that the sender holds, as the base of a delta.
  ConfigurationVersion mBase;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mBase);
  }
};

/// One replacement of a run of lines in the base document.
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
  /// Zero revision: mDocument is whole. Else mEdits apply to this base.
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
