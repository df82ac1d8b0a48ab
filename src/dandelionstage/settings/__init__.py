"""Reads and validates the settings file of one daemon."""
