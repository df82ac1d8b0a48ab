"""Decodes the response bodies of the platform's store."""

import base64
import binascii
from typing import Final, final

import msgspec

from ..catalog.catalog import CatalogItem
from ..catalog.positions import StoreRevision, position
from ..model.decoding import decode_nested

__all__ = ('Page', 'WatchResult', 'decode_page', 'decode_watch_result')


@final
class _StoreItem(msgspec.Struct):
    """An item on the wire, or the notice of its removal.

    :ivar value: base64 text.
    """

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


@final
class _PageBody(msgspec.Struct, rename='camel'):
    """One page of items as the store sends it.

    :ivar as_of: the store's revision when the page was made.
    """

    items: list[_StoreItem]
    has_more: bool
    as_of: int


@final
class _WatchBody(msgspec.Struct, rename='camel'):
    """The changes that a watch returns, as the store sends them.

    :ivar as_of: the revision after which the next watch starts.
    """

    events: list[_StoreItem]
    as_of: int


@final
class Page(msgspec.Struct):
    """One page of the items in the store.

    :ivar as_of: the store's revision when the page was made.
    :ivar last_key: key after which the next page starts; empty on the last.
    """

    items: list[CatalogItem]
    as_of: StoreRevision
    last_key: str


@final
class WatchResult(msgspec.Struct):
    """The changes of the store up to a revision.

    :ivar as_of: the revision after which the next watch starts.
    """

    items: list[CatalogItem]
    as_of: StoreRevision


def decode_page(body: bytes, era: int) -> Page:
    """Decode a page.

    :param era: era of the store's history.
    :raises msgspec.MsgspecError: if the body is not a page.
    :raises ValueError: if a revision is out of range.
    """
    page = decode_nested(_decode_page_body, body)
    items = [_decode_item(each, era) for each in page.items]
    if page.has_more and not items:
        raise ValueError('a page that is not the last has no items')
    last_key = items[-1].key if page.has_more else ''
    return Page(items, position(era, page.as_of), last_key)


def decode_watch_result(body: bytes, era: int) -> WatchResult:
    """Decode a watch response.

    :param era: era of the store's history.
    :raises msgspec.MsgspecError: if the body is not a watch response.
    :raises ValueError: if a revision is out of range.
    """
    result = decode_nested(_decode_watch_body, body)
    changed = [_decode_item(each, era) for each in result.events]
    return WatchResult(changed, position(era, result.as_of))


def _decode_item(item: _StoreItem, era: int) -> CatalogItem:
    raw: bytes | None = None
    if not item.deleted:
        try:
            raw = base64.b64decode(item.value, validate=True)
        except binascii.Error:
            # An empty value is an invalid entry; the entry parser logs it.
            raw = b''
    return CatalogItem(item.key, position(era, item.revision), raw)


_decode_page_body: Final = msgspec.json.Decoder(_PageBody).decode
_decode_watch_body: Final = msgspec.json.Decoder(_WatchBody).decode
