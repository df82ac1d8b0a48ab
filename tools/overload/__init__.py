"""Replays an overload of a whole fleet on virtual time."""
