"""The ``act`` command."""

import json
from collections.abc import Sequence
from typing import Annotated

import typer
from returns.pipeline import is_successful

from .calls import Call, send
from .options import AsJson, Entries, Key, KeyFile, read_json, read_key
from .output import complain, show
from .refusals import exit_refused
from .replies import ActionReply, TicketReply

__all__ = ('act',)

_Workload = Annotated[str, typer.Argument(help='Which service acts.')]
_Action = Annotated[str, typer.Argument(help='The action, as JSON.')]
_Deadline = Annotated[int, typer.Option(min=1, help='Stop waiting after this.')]
_Ticket = Annotated[
    str,
    typer.Option(help='Repeat an action under the ticket it had.'),
]


def act(  # noqa: WPS211 -- one argument for each option
    workload: _Workload,
    action_json: _Action,
    entry: Entries,
    ticket: _Ticket = '',
    key: Key = '',
    key_file: KeyFile = None,
    deadline_ms: _Deadline = 10_000,
    as_json: AsJson = False,
) -> None:
    """Run an action at most once.

    Each action has a ticket.  When an answer is lost, repeat the command
    with --ticket: the action is not run a second time, and the outcome of
    the first is printed.

    Example: dandelionstage act ringer-portal '{"letter": "SOF 4711"}'
    """
    key = read_key(key, key_file)
    body = {'workload': workload, 'action': read_json(action_json)}
    ticket = ticket or _mint(entry, workload, key, as_json=as_json)
    body['ticket'] = ticket
    call = Call('/v1/actions', key, body, wait_ms=deadline_ms)
    outcome = send(entry, call, ActionReply)
    if not is_successful(outcome):
        complain(('to repeat it safely: --ticket {0}'.format(ticket),))
        exit_refused(outcome.failure(), as_json=as_json)
    show(outcome.unwrap(), _lines(outcome.unwrap()), as_json=as_json)


def _mint(
    entries: Sequence[str],
    workload: str,
    key: str,
    *,
    as_json: bool,
) -> str:
    body = {'workload': workload}
    call = Call('/v1/tickets', key, body, repeatable=True)
    outcome = send(entries, call, TicketReply)
    if not is_successful(outcome):
        exit_refused(outcome.failure(), as_json=as_json)
    return outcome.unwrap().ticket


def _lines(reply: ActionReply) -> list[str]:
    return [
        json.dumps(reply.outcome),
        '{0}, ticket {1}'.format(reply.run.value, reply.ticket),
    ]
