#include "base/heap.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace citronwharf {

void configure_heap() {
#ifdef __GLIBC__
  // Otherwise the threshold rises with each larger block that is freed.
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(mapped_block_bytes));
  // Free memory at the end of the heap that is kept.
  constexpr int kept_bytes = 1 << 20;
  mallopt(M_TRIM_THRESHOLD, kept_bytes);
#endif
}

void release_free_memory() {
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

}  // namespace citronwharf
