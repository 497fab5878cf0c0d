"""Small specifications of the core protocol, checked state by state."""
