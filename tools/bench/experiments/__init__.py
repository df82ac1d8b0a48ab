"""Experiments: each runs its variants and judges its targets."""
