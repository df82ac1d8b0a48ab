"""Tests of dandelionstage."""
