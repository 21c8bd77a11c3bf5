"""Automatic retries: which requests may be sent again, and how often."""

from bramleyrill_core.retries._budget import RetryTables, count_request, may_retry

__all__ = ["RetryTables", "count_request", "may_retry"]
