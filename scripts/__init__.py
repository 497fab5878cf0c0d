"""Commands that the README describes."""
