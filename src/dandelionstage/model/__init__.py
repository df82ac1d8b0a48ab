"""Common types of the system: ids, documents, messages and verdicts."""
