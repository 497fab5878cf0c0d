"""The platform's key-value service and VM list."""
