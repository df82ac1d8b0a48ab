"""Runs the real programs under random faults and checks what they promise."""
