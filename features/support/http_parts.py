"""What the steps of http.feature share."""

from features.support import wire

UPSTREAM = "bkk-u0"


def journal(context):
    """Returns what the upstream in bkk has written down."""
    return context.deployment.journal(UPSTREAM)


def address(context, entry):
    """Returns the address of an entry for callers."""
    return context.deployment.entries[entry]["caller"]


def open_wire(context, entry):
    """Opens a connection to an entry until the end of the scenario."""
    opened = wire.Wire(address(context, entry))
    context.add_cleanup(opened.close)
    return opened
