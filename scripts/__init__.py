"""Commands of the README."""
