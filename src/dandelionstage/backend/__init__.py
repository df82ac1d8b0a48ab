"""Connections to backend servers."""
