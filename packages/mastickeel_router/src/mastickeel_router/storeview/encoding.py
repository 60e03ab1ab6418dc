"""Encoding of values for other instances: compressed, and as the difference from a value that the
receiver has.

A difference is Zstandard's compression with the earlier value as its dictionary.
"""

from __future__ import annotations

import zstandard

from mastickeel.errors import MastickeelError

LEVEL = 3
MAX_DECODED_BYTES = 8 * 1024 * 1024
"""Size above which content is not decoded."""


class UndecodableContentError(MastickeelError):
    """Raised when encoded content cannot be decoded, as with another base than its own."""

    code = "undecodable_content"
    title = "Encoded content could not be decoded."
    remedy = "Request the content again without a base."


def encode_content(content: bytes, base: bytes = b"") -> bytes:
    """Compresses content.

    Args:
        content: The content.
        base: Content that the receiver has; what both share costs next to nothing.
    """
    # A window over both lets the compressor refer to all of the base.
    window_log = max((len(content) + len(base)).bit_length(), zstandard.WINDOWLOG_MIN)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(content),
        dict_size=len(base),
        window_log=min(window_log, zstandard.WINDOWLOG_MAX),
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_make_dictionary(base)
    )
    return compressor.compress(content)


def decode_content(data: bytes, base: bytes = b"") -> bytes:
    """Returns the content that was encoded with a base.

    Raises:
        UndecodableContentError: The data is malformed, too large, or was encoded with another base.
    """
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_DECODED_BYTES:
            raise UndecodableContentError(f"The content has a size of {size} bytes.")
        decompressor = zstandard.ZstdDecompressor(dict_data=_make_dictionary(base))
        return decompressor.decompress(data)
    except zstandard.ZstdError as error:
        raise UndecodableContentError(str(error)) from error


def _make_dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
