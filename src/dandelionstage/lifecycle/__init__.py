"""Ownership of resources, the stop sequence and detection of pauses."""
