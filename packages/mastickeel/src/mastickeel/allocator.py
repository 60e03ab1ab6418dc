"""Sets how the C library's allocator returns memory to the system, where it offers to."""

from __future__ import annotations

import ctypes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 32 * 1024
"""Size from which a block of memory is mapped by itself, and unmapped when it is freed."""
FREE_TOP_BYTES = 2 * 1024 * 1024
"""Free memory at the end of the heap that is kept: each return of it costs a call and its pages."""


def map_large_blocks() -> bool:
    """Makes the allocator map each large block by itself, whatever blocks were freed before.

    By default glibc takes blocks of up to 32 MB from its heap once one of that size was freed.
    Bodies that grow side by side then leave holes in the heap that hold more memory than they do.

    Returns:
        Whether the C library has accepted the setting.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    values_by_option = {M_MMAP_THRESHOLD: LARGE_BLOCK_BYTES, M_TRIM_THRESHOLD: FREE_TOP_BYTES}
    return all(set_option(option, value) == 1 for option, value in values_by_option.items())
