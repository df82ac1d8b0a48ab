"""Development tools: stand-ins, demo, bench and fault matrix."""
