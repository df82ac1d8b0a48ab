"""Metrics, logs and the operator's HTTP interface."""
