// Measures the CPU cost of encoding, decoding and authenticating peer messages.
// The sizes range from a datagram to a forwarded request with a body.

#include <benchmark/benchmark.h>
#include <string>

#include "cranberrywing/message.h"

namespace {

using namespace cranberrywing;

Envelope MakeEnvelope(std::size_t aBytes)
{
  return { { VmId("vm-1"), Incarnation{ 7 } },
           message::ConfigurationBody{ .mDocument =
                                         std::string(aBytes, 'x') } };
}

MessageCodec MakeCodec()
{
  return MessageCodec({ "secret-of-the-benchmark" });
}

void EncodeMessage(benchmark::State& aState)
{
  const MessageCodec codec = MakeCodec();
  const Envelope envelope = MakeEnvelope(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EncodeEnvelope(envelope, codec));
  }
}

void DecodeMessage(benchmark::State& aState)
{
  const MessageCodec codec = MakeCodec();
  const std::string bytes =
    EncodeEnvelope(MakeEnvelope(aState.range(0)), codec);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeEnvelope(bytes, codec));
  }
}

/// The authentication alone, which encoding and decoding include.
void SignMessage(benchmark::State& aState)
{
  const MessageCodec codec = MakeCodec();
  const std::string body(aState.range(0), 'x');
  for (auto _ : aState) {
    benchmark::DoNotOptimize(codec.Sign(body));
  }
}

BENCHMARK(EncodeMessage)->Arg(64)->Arg(1024)->Arg(65536);
BENCHMARK(DecodeMessage)->Arg(64)->Arg(1024)->Arg(65536);
BENCHMARK(SignMessage)->Arg(64)->Arg(1024)->Arg(65536);

} // namespace

BENCHMARK_MAIN();
