"""Names, formats and calls of the platform; makes no routing decisions."""
