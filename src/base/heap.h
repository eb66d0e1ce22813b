/// How the process gets memory from the operating system and gives it back.
#ifndef CITRONWHARF_BASE_HEAP_H_
#define CITRONWHARF_BASE_HEAP_H_

#include <cstddef>

namespace citronwharf {

/// Blocks of at least this size are mapped on their own: they take no more
/// memory than the pages that were written to, and their end gives it back,
/// whatever lies beside them.
constexpr std::size_t mapped_block_bytes = 64U << 10U;

/// Sets how the allocator serves large blocks; to be called once, before other
/// threads start. Does nothing with a C library other than glibc.
void configure_heap();

/// Gives the free pages between smaller blocks back to the operating system.
/// Takes time in proportion to their number. Thread-safe.
void release_free_memory();

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_HEAP_H_
