"""Adapts dandelionstage to the hosting platform's store, settings and ports."""
