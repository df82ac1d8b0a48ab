"""Gossip between VMs: discovery of members and transfer of the catalog."""
