"""Settings of the C library's allocator, so that freed memory goes back to the system."""

from __future__ import annotations

import ctypes

# Parameters of mallopt(3).
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD, M_ARENA_MAX = -1, -3, -8
MMAP_THRESHOLD_BYTES = 128 * 1024  # a set value stays; by default it grows with the blocks that are freed
TRIM_THRESHOLD_BYTES = 256 * 1024


class Allocator:
    """The allocator of this process. Where the C library has no such calls, nothing happens."""

    def __init__(self) -> None:
        library = ctypes.CDLL(None)
        self._mallopt = getattr(library, "mallopt", None)
        self._malloc_trim = getattr(library, "malloc_trim", None)

    def configure(self) -> None:
        """Large blocks are mapped on their own and go back when they are freed; there is one arena."""
        if self._mallopt is not None:
            self._mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
            self._mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
            self._mallopt(M_ARENA_MAX, 1)

    def trim(self) -> None:
        """Gives free pages back to the system."""
        if self._malloc_trim is not None:
            self._malloc_trim(0)
