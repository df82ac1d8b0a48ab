"""Routing: the owners of shards and the choice of backend servers."""
