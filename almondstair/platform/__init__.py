"""How the gateway's platform speaks: names, formats and calls, no decisions."""
