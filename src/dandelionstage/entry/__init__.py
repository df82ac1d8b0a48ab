"""HTTP API for callers: queries, tickets and actions."""
