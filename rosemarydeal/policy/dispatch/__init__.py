"""Dispatch to the upstream: queueing, rate limits, load shedding, retry budgets."""
