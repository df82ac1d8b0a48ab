"""Runs queries over all shards of a workload.

A query pins a snapshot with its shard map, sends a sub-request for each shard
to an owner, merges the parts from the replies and answers.
"""
