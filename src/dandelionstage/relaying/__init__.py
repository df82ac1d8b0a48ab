"""Relaying of large queries through other VMs of the data centre."""
