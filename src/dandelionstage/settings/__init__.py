"""The settings file of one daemon, read and validated."""
