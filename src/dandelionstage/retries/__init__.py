"""Retry budgets, hedge delays, backoff and observed answer times."""
