"""Bodies of the platform's store, as they come over the wire."""

import base64
import binascii
from typing import final

import msgspec

from ..catalog.catalog import CatalogItem
from ..catalog.servers import StoreRevision

__all__ = ('Page', 'Watched', 'read_page', 'read_watched')


@final
class _StoreItem(msgspec.Struct):
    """An item, or the notice of its removal.

    :ivar value: base64 text.
    """

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


@final
class _PageBody(msgspec.Struct, rename='camel'):
    """One page.

    :ivar as_of: the store's revision when it was made.
    """

    items: list[_StoreItem]
    has_more: bool
    as_of: int


@final
class _WatchBody(msgspec.Struct, rename='camel'):
    """What a watch brings.

    :ivar as_of: where the next watch goes on.
    """

    events: list[_StoreItem]
    as_of: int


@final
class Page(msgspec.Struct):
    """One page of a reading of the store.

    :ivar last_key: where the next page begins, empty after the last.
    """

    items: list[CatalogItem]
    as_of: StoreRevision
    last_key: str


@final
class Watched(msgspec.Struct):
    """What changed in the store up to a revision."""

    items: list[CatalogItem]
    as_of: StoreRevision


def read_page(body: bytes) -> Page:
    """Decode a page.

    :raises msgspec.MsgspecError: when it is none.
    """
    page = msgspec.json.decode(body, type=_PageBody)
    found = [_item(each) for each in page.items]
    last_key = found[-1].key if page.has_more and found else ''
    return Page(found, StoreRevision(page.as_of), last_key)


def read_watched(body: bytes) -> Watched:
    """Decode what a watch brought.

    :raises msgspec.MsgspecError: when it is no such body.
    """
    watched = msgspec.json.decode(body, type=_WatchBody)
    changed = [_item(each) for each in watched.events]
    return Watched(changed, StoreRevision(watched.as_of))


def _item(found: _StoreItem) -> CatalogItem:
    raw: bytes | None = None
    if not found.deleted:
        try:
            raw = base64.b64decode(found.value, validate=True)
        except binascii.Error:
            # The key stands for an entry that cannot be read, which is
            # logged where entries are interpreted.
            raw = b''
    return CatalogItem(found.key, StoreRevision(found.revision), raw)
