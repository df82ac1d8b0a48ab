"""Detects which VMs are alive by probes and gossip (SWIM)."""
