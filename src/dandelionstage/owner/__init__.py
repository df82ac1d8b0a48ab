"""Queueing, slot accounting and replica selection for backend servers."""
