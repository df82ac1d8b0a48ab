"""Backend server selection, throttling and the fleet's retry budget."""
