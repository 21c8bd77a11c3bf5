"""Automatic retries: what may be sent again, and how often."""

from bramleyrill_core.retries._budget import RetryTables, may_retry, note_request

__all__ = ["RetryTables", "may_retry", "note_request"]
