"""The era of the store's history, and revisions that can be compared across a restore."""

from bramleyrill_core.history._history import MAX_ERA, NO_ERA, StoreHistory
from bramleyrill_core.history._revision import StoreRevision

__all__ = ["MAX_ERA", "NO_ERA", "StoreHistory", "StoreRevision"]
