"""What the tools ask of the stand-ins and the daemons' operator ports."""

from typing import Any, Final, Self, final

import httpx
from pydantic import BaseModel

from .ports import LOOPBACK

__all__ = ('BackendControl', 'ConfigService', 'base_url', 'is_ready')

_CALL_S: Final = 2.0


def base_url(port: int) -> str:
    """Give the URL of a port on loopback."""
    return 'http://{0}:{1}'.format(LOOPBACK, port)


def is_ready(port: int, path: str) -> bool:
    """Say whether a port answers a GET with success."""
    try:
        with _open_client(port) as http:
            return http.get(path).is_success
    except httpx.HTTPError:
        return False


def _open_client(port: int) -> httpx.Client:
    # Certificates would be loaded for each client; loopback needs none.
    return httpx.Client(
        base_url=base_url(port),
        timeout=_CALL_S,
        verify=False,
        trust_env=False,
    )


class _Client:
    def __init__(self, port: int) -> None:
        """Name the stand-in by its port."""
        self._http = _open_client(port)

    def __enter__(self) -> Self:
        """Connect on the first call."""
        return self

    def __exit__(self, *error: object) -> None:
        """Close the connection."""
        self._http.close()

    def set_faults(self, **faults: Any) -> None:
        """Make the stand-in misbehave."""
        response = self._http.post('/control/faults', json=faults)
        response.raise_for_status()


@final
class ConfigService(_Client):
    """The operator's side of the stand-in configuration service."""

    def publish(self, key: str, body: BaseModel) -> int:
        """Publish a document.

        :returns: its revision.
        """
        return self.publish_raw(key, body.model_dump_json().encode())

    def publish_raw(self, key: str, body: bytes) -> int:
        """Publish a document as it stands, valid or not."""
        path = '/v1/documents/{0}'.format(key)
        response = self._http.put(path, content=body)
        response.raise_for_status()
        return int(response.json()['revision'])

    def withdraw(self, key: str) -> None:
        """Leave a tombstone in a document's place."""
        response = self._http.delete('/v1/documents/{0}'.format(key))
        response.raise_for_status()

    def reads(self) -> int:
        """Count the reads so far, over all readers."""
        response = self._http.get('/control/reads')
        return int(response.raise_for_status().json()['reads'])


@final
class BackendControl(_Client):
    """The witness's side of a stand-in backend server."""

    def log(self) -> list[dict[str, Any]]:
        """Read every start, run and refusal, oldest first."""
        response = self._http.get('/control/log')
        log: list[dict[str, Any]] = response.raise_for_status().json()['log']
        return log

    def maxima(self) -> dict[str, Any]:
        """Read how much was in use at most, and the counts."""
        response = self._http.get('/control/maxima')
        maxima: dict[str, Any] = response.raise_for_status().json()
        return maxima
