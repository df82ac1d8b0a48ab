"""Which backend server gets a request, and how many more may be tried."""
