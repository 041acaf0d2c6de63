#include "base/ids.h"

#include <sodium.h>

#include <array>

namespace dandelion::base {

std::string RandomHexId() {
  constexpr size_t kRandomBytes = 16;
  std::array<unsigned char, kRandomBytes> bytes;
  randombytes_buf(bytes.data(), bytes.size());
  std::string name(2 * kRandomBytes + 1, '\0');
  sodium_bin2hex(name.data(), name.size(), bytes.data(), bytes.size());
  name.pop_back();
  return name;
}

}  // namespace dandelion::base
