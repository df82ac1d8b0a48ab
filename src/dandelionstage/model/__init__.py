"""The vocabulary of the system: ids, documents, messages and verdicts."""
