"""Serves callers straight from backend servers, with little work each."""
