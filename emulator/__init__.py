"""An emulator of the users' platform: store, upstreams, callers, faults.

It speaks the platform's published protocol, so that the gateway can be run,
tested and measured on one machine without the platform.
"""
