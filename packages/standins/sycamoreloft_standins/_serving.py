"""Starts the HTTP server of a stand-in on a free port."""

from collections import abc
import typing

import tornado.httpserver
import tornado.netutil
import tornado.web


def serve(
    handlers: abc.Iterable[tuple[str, type[tornado.web.RequestHandler]]],
    arguments: abc.Mapping[str, typing.Any],
) -> tuple[tornado.httpserver.HTTPServer, str]:
    """Serves handlers on a free port of the loopback interface.

    Args:
        handlers: Path patterns and their handlers.
        arguments: Keyword arguments of each handler's `initialize`.

    Returns:
        The server, and its address as "ip:port".
    """
    application = tornado.web.Application(
        [(path, handler, dict(arguments)) for path, handler in handlers],
        log_function=lambda handler: None,
    )
    server = tornado.httpserver.HTTPServer(application)
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return server, f"127.0.0.1:{sockets[0].getsockname()[1]}"
