"""Access to a handler's connection, to emulate HTTP protocol faults."""

from tornado import http1connection
from tornado import web


def connection_of(
    handler: web.RequestHandler,
) -> http1connection.HTTP1Connection:
    """Returns the connection of a handler's request."""
    connection = handler.request.connection
    assert isinstance(connection, http1connection.HTTP1Connection)
    return connection
