"""The daemon process on an entry VM."""
