"""Limits derived from contracts: admission, quota, queues and slots."""
