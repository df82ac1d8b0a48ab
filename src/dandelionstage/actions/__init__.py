"""Tickets that let a non-idempotent action run at most once."""
