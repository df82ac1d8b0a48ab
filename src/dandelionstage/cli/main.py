"""The command line's entry point."""

import typer

from .act_command import act
from .contract_command import contract_app
from .exit_codes import EXIT_CODES_HELP
from .explain_command import explain
from .log_report_command import log_report
from .query_command import query
from .report_command import report
from .settings_command import settings_app
from .status_command import status

__all__ = ('app', 'main')

app = typer.Typer(
    name='dandelionstage',
    help=(
        'Ask a fleet, and see whether its contracts are kept. '
        'Set DANDELIONSTAGE_KEY to the customer key and '
        'DANDELIONSTAGE_ENTRY to the URLs of the entries.'
    ),
    epilog=EXIT_CODES_HELP,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

app.command(epilog=EXIT_CODES_HELP)(query)
app.command(epilog=EXIT_CODES_HELP)(act)
app.command(epilog=EXIT_CODES_HELP)(status)
app.command(epilog=EXIT_CODES_HELP)(report)
app.command(epilog=EXIT_CODES_HELP)(explain)
app.command('log-report', epilog=EXIT_CODES_HELP)(log_report)
app.add_typer(contract_app, name='contract')
app.add_typer(settings_app, name='settings')


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
