"""HTTP gateway that forwards requests of callers to backend servers."""
