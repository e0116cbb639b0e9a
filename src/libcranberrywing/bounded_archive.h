/// \file
/// Input archive for cereal's portable binary format that reads from a string
/// view. Unlike cereal's own archive it rejects a length that exceeds the
/// remaining input before allocating memory for it.
#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace cranberrywing {

/// Throws cereal::Exception on malformed input. Not thread-safe.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : InputArchive(this)
    , mBytes(aBytes)
  {
    // The first byte states the byte order of the numbers that follow.
    std::uint8_t isLittle = 0;
    Read(&isLittle, 1, 1);
    mIsSwapped = (isLittle == 1) !=
                 (cereal::portable_binary_detail::is_little_endian() == 1);
  }

  std::size_t Remaining() const { return mBytes.size(); }

  /// Copies aSize bytes to aTarget and swaps the bytes of each element if the
  /// input's byte order differs from the host's.
  void Read(void* aTarget, std::size_t aSize, std::size_t aElementSize)
  {
    CheckLength(aSize);
    // aTarget is null for an empty container; memcpy requires a valid pointer.
    if (aSize == 0) {
      return;
    }
    auto* const target = static_cast<char*>(aTarget);
    std::memcpy(target, mBytes.data(), aSize);
    mBytes.remove_prefix(aSize);
    for (std::size_t n = 0; mIsSwapped && n < aSize; n += aElementSize) {
      std::reverse(target + n, target + n + aElementSize);
    }
  }

  /// Throws if a container of aLength elements cannot fit into the remaining
  /// input. Each element takes at least one byte.
  void CheckLength(std::size_t aLength) const
  {
    if (aLength > mBytes.size()) {
      throw cereal::Exception("length beyond the message's end");
    }
  }

private:
  std::string_view mBytes;
  bool mIsSwapped = false;
};

template<class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, Number& aNumber)
{
  if constexpr (std::is_same_v<Number, bool>) {
    std::uint8_t value = 0;
    aArchive.Read(&value, 1, 1);
    aNumber = value != 0;
  } else {
    aArchive.Read(&aNumber, sizeof(Number), sizeof(Number));
  }
}

template<class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive,
                                    cereal::NameValuePair<Value>& aPair)
{
  aArchive(aPair.value);
}

template<class Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive,
                                    cereal::SizeTag<Size>& aTag)
{
  aArchive(aTag.size);
  aArchive.CheckLength(aTag.size);
}

template<class Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                               cereal::BinaryData<Value>& aData)
{
  aArchive.Read(aData.data,
                static_cast<std::size_t>(aData.size),
                sizeof(std::remove_pointer_t<Value>));
}

} // namespace cranberrywing

// CEREAL_SETUP_ARCHIVE_TRAITS would also define the input archive that belongs
// to the output archive, which cereal has already defined.
namespace cereal::traits::detail {

template<>
struct get_output_from_input<cranberrywing::BoundedInputArchive>
  : std::type_identity<cereal::PortableBinaryOutputArchive>
{
};

} // namespace cereal::traits::detail
