"""Shares large queries with other VMs of the data centre."""
