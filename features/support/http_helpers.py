"""Helpers shared by the steps of http.feature."""

from features.support import wire

UPSTREAM = "bkk-u0"


def journal(context):
    """Returns the journal of the upstream in bkk."""
    return context.deployment.journal(UPSTREAM)


def address(context, entry):
    """Returns the address of an entry's caller listener."""
    return context.deployment.entries[entry]["caller"]


def open_wire(context, entry):
    """Opens a connection to an entry; the scenario's cleanup closes it."""
    connection = wire.Wire(address(context, entry))
    context.add_cleanup(connection.close)
    return connection
