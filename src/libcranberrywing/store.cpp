#include "cranberrywing/store.h"

namespace cranberrywing {

std::string PrefixRangeEnd(std::string aPrefix)
{
  while (!aPrefix.empty()) {
    const auto last = static_cast<unsigned char>(aPrefix.back());
    if (last != 0xff) {
      aPrefix.back() = static_cast<char>(last + 1);
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  // etcd's notation for a range that extends to the last key.
  return std::string(1, '\0');
}

} // namespace cranberrywing
