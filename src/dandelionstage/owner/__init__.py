"""Queues of the sub-requests that a VM sends to backend servers.

A VM owns the replicas of some shards in its data centre. The sub-requests
for them are sent to this VM, whose owner starts them as slots become free.
"""
