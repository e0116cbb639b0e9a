// Writes the seed corpora of the envelope and shard fuzz targets below the
// given directory. The seed corpus of the settings target consists of the
// example settings, which scripts/fuzz copies.

#include <filesystem>
#include <fstream>
#include <string>

#include "cranberrywing/client_blocks.h"
#include "cranberrywing/message.h"

using namespace cranberrywing;

namespace {

void WriteInput(const std::filesystem::path& aPath, const std::string& aBytes)
{
  std::filesystem::create_directories(aPath.parent_path());
  std::ofstream(aPath, std::ios::binary) << aBytes;
}

/// Writes one message of each kind, with every field at its default.
template<std::size_t Index = 0>
void WriteMessages(const std::filesystem::path& aDirectory)
{
  if constexpr (Index < std::variant_size_v<Message>) {
    const Envelope envelope{ { VmId("vm-1"), Incarnation{ 7 } },
                             Message(std::in_place_index<Index>) };
    const std::string bytes = EncodeEnvelope(envelope, MessageCodec());
    // A first byte of 1 makes envelope_fuzz sign the rest.
    WriteInput(aDirectory / std::to_string(Index),
               '\x01' + bytes.substr(kEnvelopeMacBytes));
    WriteMessages<Index + 1>(aDirectory);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return 1;
  }
  const std::filesystem::path directory(aArguments[1]);
  WriteMessages(directory / "envelope");
  const ClientBlockShard shard{
    .mSites = { SiteId("accra"), SiteId("kumasi") },
    .mBlocks = { { 0x0a000000, 24, 0 }, { 0x0a000100, 24, 1 } },
  };
  WriteInput(directory / "shard" / "two", EncodeShard(shard));
  return 0;
}
