"""Decoding of documents and messages that others have written."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

__all__ = ('decode_nested',)

_Decoded = TypeVar('_Decoded')


def decode_nested(
    decode: Callable[[bytes], _Decoded], encoded: bytes
) -> _Decoded:
    """Decode with a decoder that gives up at too many levels.

    A field that no type knows is passed over, however deep it is, and the
    decoder's own error for that is none of those that callers expect.

    :raises msgspec.MsgspecError: if it cannot be decoded.
    """
    try:
        return decode(encoded)
    except RecursionError as error:
        raise msgspec.DecodeError('too many levels') from error
