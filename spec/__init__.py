"""Specifications of the core protocols, verified by model checking."""
