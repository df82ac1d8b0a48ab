"""Which VM owns a shard and which backend server takes a request."""
