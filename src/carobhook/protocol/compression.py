"""Compression of large frames, for slow links.

Load pattern: a configuration of thousands of routes goes to each instance of a region at the
same moment, and the links of some carry a few Mbit/s. Its routes resemble each other, so it
shrinks to about a tenth.
"""

import zlib

# The fastest level; higher ones save a tenth more and take twice as long.
_LEVEL = 1


class DecompressionError(ValueError):
    """Compressed data is invalid, or larger than allowed once it is decompressed."""


def compress(data: bytes) -> bytes:
    """Return data in the zlib format."""
    return zlib.compress(data, _LEVEL)


def decompress(data: bytes, limit: int) -> bytes:
    """Return the data that was compressed.

    Args:
        data: Data in the zlib format.
        limit: Largest number of bytes to return.

    Raises:
        DecompressionError: The data is invalid, incomplete or holds more than that.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, limit)
    except zlib.error as error:
        raise DecompressionError(str(error)) from error
    if not decompressor.eof:
        raise DecompressionError(f"data must be complete and hold at most {limit} bytes")
    return content
