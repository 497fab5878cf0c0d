"""An emulator of the users' platform: store, upstreams, callers, faults.

It implements the platform's published protocol, so that the gateway can be
run, tested and measured on one host without the platform.
"""
