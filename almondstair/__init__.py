"""Global traffic steering between callers and upstreams in several regions."""

__version__ = "0.1.0"
