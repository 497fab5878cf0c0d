"""The key-value service and VM list that `almondstaird` runs on.

Base classes, and the adapter to the JSON gateway of the etcd v3 API.
"""
