"""Limits derived from contracts: admission, quotas, queues and slots."""
