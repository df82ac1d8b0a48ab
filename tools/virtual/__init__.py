"""Decisions of many VMs on virtual time, for tests and measurements."""
