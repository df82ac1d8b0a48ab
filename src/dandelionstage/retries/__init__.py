"""Retry budget, hedging and backoff."""
