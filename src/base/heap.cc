#include "base/heap.h"

#include <malloc.h>

namespace dandelion::base {

void ReturnLargeBlocks() {
  constexpr int kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace dandelion::base
