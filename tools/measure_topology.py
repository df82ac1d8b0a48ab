"""Memory and time that the published documents take, by fleet size."""

import sys
import time
from dataclasses import replace
from typing import Final, NamedTuple, final

import numpy as np
import psutil

from dandelionstage.configuration.store import DocumentStore
from dandelionstage.model.documents import Document
from dandelionstage.model.ids import Revision
from tools.large_fleet import FLEET_BACKENDS, FLEET_VMS, make_documents

_SHARES: Final = (0.125, 0.25, 0.5, 1)
_KIBI: Final = 1024
_MS_PER_S: Final = 1000
_HEAD: Final = ' servers      VMs  MiB more  ms all  ms one  largest KiB\n'
_ROW: Final = '{0:>8} {1:>8} {2:>9.1f} {3:>7.0f} {4:>7.0f} {5:>12.0f}\n'


@final
class _Point(NamedTuple):
    """What one fleet size takes."""

    servers: int
    vms: int
    used_mib: float
    all_ms: float
    one_ms: float
    largest_kib: float


def main() -> None:
    """Measure growing fleets and fit the memory of a backend server."""
    stores: list[DocumentStore] = []
    points = [_measure(share, stores) for share in _SHARES]
    sys.stdout.write(_HEAD)
    for shown in points:
        sys.stdout.write(_ROW.format(*shown))
    slope_kib = (
        _KIBI
        * np.polyfit(
            [each.servers for each in points],
            [each.used_mib for each in points],
            1,
        )[0]
    )
    sys.stdout.write('slope: {0:.2f} KiB a server\n'.format(slope_kib))


def _measure(share: float, stores: list[DocumentStore]) -> _Point:
    """Take a fleet's documents into a store that is kept."""
    documents = list(make_documents(share))
    stores.append(DocumentStore())
    before_mib = _resident_mib()
    all_ms = _take(stores[-1], documents)
    newer = replace(documents[0], revision=Revision(2))
    return _Point(
        servers=int(FLEET_BACKENDS * share),
        vms=int(FLEET_VMS * share),
        used_mib=_resident_mib() - before_mib,
        all_ms=all_ms,
        one_ms=_take(stores[-1], [newer]),
        largest_kib=max(map(_size_kib, documents)),
    )


def _size_kib(document: Document) -> float:
    return len(document.body_json) / _KIBI


def _resident_mib() -> float:
    return float(psutil.Process().memory_info().rss) / _KIBI / _KIBI


def _take(store: DocumentStore, documents: list[Document]) -> float:
    """Offer documents and rebuild the topology, in milliseconds."""
    began_s = time.perf_counter()
    for document in documents:
        store.offer(document)
    assert store.topology is not None  # noqa: S101 -- it is built on use
    return (time.perf_counter() - began_s) * _MS_PER_S


if __name__ == '__main__':
    main()
