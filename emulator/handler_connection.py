"""The connection below a handler's request, for what HTTP does not allow."""

from tornado import http1connection
from tornado import web


def connection_of(
    handler: web.RequestHandler,
) -> http1connection.HTTP1Connection:
    """Returns the connection that a handler's request came on."""
    connection = handler.request.connection
    assert isinstance(connection, http1connection.HTTP1Connection)
    return connection
