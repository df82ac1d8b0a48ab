"""Admission that follows the documents in force."""

from random import Random

from ..inner.messages import Hello
from ..limits.admission import Admission
from .clock import monotonic_ms
from .facts import Facts

__all__ = ('make_admission',)


def make_admission(greeting: Hello, facts: Facts, random: Random) -> Admission:
    """Make the admission of one daemon."""
    admission = Admission(greeting.vm, greeting.data_centre, random)
    facts.follow(
        lambda topology: admission.use_topology(topology, monotonic_ms()),
    )
    return admission
