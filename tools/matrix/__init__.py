"""The fault matrix: which fault at which step a test proves harmless."""
