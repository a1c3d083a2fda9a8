"""Stand-in upstreams that accept fenced grants and run requests.

Run as `python -m sycamoreloft_standins.upstream --spec name:port:slots ...`
with one `--spec` for each upstream of the process. Section 12.1 of the design
page gives the protocol. Paths under `/_standin/` are for test drivers only.
"""

import argparse
import asyncio
import logging
import pathlib
import socket
import sys

import tornado.httpserver
import tornado.web

from sycamoreloft_standins import (
    _control_handlers,
    _specs,
    _upstream_state,
    _work_handler,
)

_LOGGER = logging.getLogger(__name__)
_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024 * 1024


def make_application(
    state: _upstream_state.UpstreamState,
) -> tornado.web.Application:
    """Builds the application of one upstream."""
    settings = {"state": state}
    return tornado.web.Application(
        [
            (
                r"/_sycamoreloft/grant",
                _control_handlers.GrantHandler,
                settings,
            ),
            (
                r"/_sycamoreloft/health",
                _control_handlers.HealthHandler,
                settings,
            ),
            (r"/_sycamoreloft/load", _control_handlers.LoadHandler, settings),
            (r"/_standin/faults", _control_handlers.FaultsHandler, settings),
            (r"/_standin/freeze", _control_handlers.FreezeHandler, settings),
            (r"/_standin/state", _control_handlers.StateHandler, settings),
            (r"/.*", _work_handler.WorkHandler, settings),
        ],
        log_function=lambda handler: None,
    )


def start_server(
    state: _upstream_state.UpstreamState,
    sockets: list[socket.socket] | None = None,
) -> tornado.httpserver.HTTPServer:
    """Starts to serve one upstream in the running event loop.

    Args:
        state: State of the upstream.
        sockets: Bound sockets; the port of the spec on the loopback
            interface if omitted.
    """
    server = tornado.httpserver.HTTPServer(
        make_application(state), max_body_size=_MAXIMUM_BODY_BYTES
    )
    if sockets is None:
        server.listen(state.spec.port, "127.0.0.1", backlog=1024)
    else:
        server.add_sockets(sockets)
    state.record("started", slots=state.spec.slots)
    return server


async def serve(
    specs: list[_specs.UpstreamSpec],
    keys: dict[str, str],
    log: _upstream_state.RunLog,
    seed: int,
) -> None:
    """Serves upstreams on the loopback interface until the process ends."""
    for spec in specs:
        start_server(_upstream_state.UpstreamState(spec, keys, log, seed))
        _LOGGER.info("upstream %s ready on port %d", spec.name, spec.port)
    await asyncio.Event().wait()


def main() -> None:
    """Parses the arguments and serves the upstreams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--spec",
        action="append",
        type=_specs.parse_spec,
        required=True,
        help="name:port:slots[:option=value...]; may be repeated",
    )
    parser.add_argument(
        "--grant-key",
        action="append",
        default=[],
        help="id:secret that may sign grants; may be repeated",
    )
    parser.add_argument("--log", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    keys = dict(item.split(":", 1) for item in arguments.grant_key)
    log = _upstream_state.RunLog(arguments.log)
    asyncio.run(serve(arguments.spec, keys, log, arguments.seed))


if __name__ == "__main__":
    main()
