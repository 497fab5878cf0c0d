"""The data path of an entry VM: callers on one side, upstreams on the other."""
