"""Decide how a query is run: pin a snapshot, send, merge and answer."""
