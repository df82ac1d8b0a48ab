"""Measures decisions under virtual time, with fake backend servers."""
