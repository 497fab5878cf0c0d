"""The data path of an entry VM, between callers and upstreams."""
