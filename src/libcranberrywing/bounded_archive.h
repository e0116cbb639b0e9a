/// \file
/// Input in cereal's portable binary format from a view. Unlike cereal's own
/// archive it refuses a length beyond the remaining input before anything of
/// that length is allocated.
#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace cranberrywing {

/// Throws cereal::Exception on unusable input. Not thread-safe.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : InputArchive(this)
    , mBytes(aBytes)
  {
    // The format starts with the byte order of the numbers that follow.
    std::uint8_t isLittle = 0;
    Read(&isLittle, 1, 1);
    mIsSwapped = (isLittle == 1) !=
                 (cereal::portable_binary_detail::is_little_endian() == 1);
  }

  std::size_t Remaining() const { return mBytes.size(); }

  void Read(void* aTarget, std::size_t aSize, std::size_t aElementSize)
  {
    CheckLength(aSize);
    // An empty container has no target, which memcpy must not be given.
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

  /// Each element of a container takes at least one byte.
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

// CEREAL_SETUP_ARCHIVE_TRAITS would also make this the input archive of the
// output archive, which cereal has defined already.
namespace cereal::traits::detail {

template<>
struct get_output_from_input<cranberrywing::BoundedInputArchive>
  : std::type_identity<cereal::PortableBinaryOutputArchive>
{
};

} // namespace cereal::traits::detail
