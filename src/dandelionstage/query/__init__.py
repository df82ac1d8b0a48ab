"""Pin a snapshot, plan sub-requests, gather parts and state coverage."""
