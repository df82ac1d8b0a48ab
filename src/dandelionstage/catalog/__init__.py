"""What callers may ask for and which backend servers answer it."""
