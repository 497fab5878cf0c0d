"""Key-value service and VM list of the platform.

Contains the base classes, and the adapter for the JSON gateway of the etcd v3
API.
"""
