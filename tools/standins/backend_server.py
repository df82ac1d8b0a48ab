"""Runs stand-in backend servers, several in one process."""

import json
import sys
import time
from typing import Annotated

import anyio
import typer

from .backend.listener import listen
from .backend.messages import ServerSetup

__all__ = ('main',)

_Many = Annotated[list[str], typer.Option(default_factory=list)]
_Ports = Annotated[list[int], typer.Option(help='0 picks a free one.')]
_Names = Annotated[list[str], typer.Option(help='Ids, in port order.')]


async def serve(setups: list[ServerSetup]) -> None:
    """Listen on every port, then say so on one line of standard output."""
    opened: dict[str, int] = {}
    async with anyio.create_task_group() as tasks:
        for setup in setups:
            # One after the other: a port that is taken is named at once.
            server = await tasks.start(listen, setup)  # noqa: WPS476
            opened[setup.backend] = server.port
        sys.stdout.write('{0}\n'.format(json.dumps({'ready': opened})))
        sys.stdout.flush()


def _command(  # noqa: WPS211 -- one argument for each option
    port: _Ports,
    backend: _Names,
    snapshot: _Many,
    shard: _Many,
    slots: int = 2,
    max_connections: int = 50,
    queue: int = 16,
    service_ms: float = 2,
    connect_ms: float = 0,
    cold_ms: float = 0,
    record_count: int = 2,
) -> None:
    """Serve as backend servers on loopback until stopped.

    One --port for each --backend, in the same order.  Without --snapshot or
    --shard a server holds any that it is asked for.
    """
    if len(port) != len(backend):
        raise typer.BadParameter('as many --port as --backend')
    setups = [
        ServerSetup(
            backend=name,
            port=number,
            incarnation='{0}-{1}'.format(name, time.time_ns()),
            slots=slots,
            max_connections=max_connections,
            queue=queue,
            service_ms=service_ms,
            connect_ms=connect_ms,
            cold_ms=cold_ms,
            record_count=record_count,
            snapshots=tuple(snapshot),
            shards=tuple(shard),
        )
        for name, number in zip(backend, port, strict=True)
    ]
    anyio.run(serve, setups, backend_options={'use_uvloop': True})


def main() -> None:
    """Run the command line."""
    typer.run(_command)


if __name__ == '__main__':
    main()
