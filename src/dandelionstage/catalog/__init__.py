"""Routes that callers may use and the backend servers that answer them."""
