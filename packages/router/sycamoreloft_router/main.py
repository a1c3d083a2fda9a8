"""Command line of the router process."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import typing

from returns import pipeline
import typer

import sycamoreloft_config
from sycamoreloft_router import _host, _logs, _supervisor

#: Exit code for invalid settings.
EXIT_SETTINGS = 78

#: Exit code if a task of the process keeps failing.
EXIT_FAILED = 70

_APPLICATION = typer.Typer(add_completion=False)


@_APPLICATION.command()
def serve(
    settings: typing.Annotated[
        pathlib.Path,
        typer.Option(help="Settings file of the process, TOML."),
    ],
) -> None:
    """Runs a router host until SIGTERM or SIGINT.

    SIGUSR1 writes the state dump to standard error. Exit codes: 0 after a
    graceful stop, 78 for invalid settings, 70 if a task keeps failing.
    """
    loaded = sycamoreloft_config.load_settings(str(settings), os.environ)
    if not pipeline.is_successful(loaded):
        for problem in loaded.failure():
            typer.echo(str(problem), err=True)
        raise typer.Exit(EXIT_SETTINGS)
    _logs.set_up_logging(loaded.unwrap().log_level)
    try:
        code = asyncio.run(_serve(loaded.unwrap()))
    except OSError as error:
        # A port is in use, or the TLS files are missing or invalid.
        typer.echo(
            f"the host cannot start: {error}; check the addresses and the TLS"
            f" files in {settings}",
            err=True,
        )
        raise typer.Exit(EXIT_SETTINGS) from error
    raise typer.Exit(code)


async def _serve(settings: sycamoreloft_config.Settings) -> int:
    host = _host.Host(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGUSR1, _print_state, host)
    try:
        await host.run(stop_requested)
    except _supervisor.SupervisorFailed as error:
        typer.echo(str(error), err=True)
        return EXIT_FAILED
    return 0


def _print_state(host: _host.Host) -> None:
    json.dump(host.dump_state(), sys.stderr)
    sys.stderr.write("\n")


def run() -> None:
    """Runs the command line."""
    _APPLICATION()
