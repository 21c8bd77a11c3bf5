"""The configuration text in force: its distribution to the VMs, and its typed form."""

from bramleyrill_core.configuration._messages import (
    PeerVersionSeen,
    PullFailed,
    PullText,
    TextInForce,
    TextOffered,
    TextRejected,
)
from bramleyrill_core.configuration._offer import (
    ObjectStore,
    StoredObject,
    StoreUnreachable,
    VersionConflict,
    decode_value,
    encode_value,
    offer_text,
)
from bramleyrill_core.configuration._packing import pack_source, unpack_source
from bramleyrill_core.configuration._spread import ConfigurationTables
from bramleyrill_core.configuration._watchers import is_watcher, watchers
from bramleyrill_core.text import *  # noqa: F403 (also exports the typed form)
from bramleyrill_core.text import __all__ as _text_names

__all__ = [
    "ConfigurationTables",
    "PeerVersionSeen",
    "PullFailed",
    "PullText",
    "TextInForce",
    "TextOffered",
    "TextRejected",
    "ObjectStore",
    "StoreUnreachable",
    "StoredObject",
    "VersionConflict",
    "decode_value",
    "encode_value",
    "is_watcher",
    "offer_text",
    "pack_source",
    "unpack_source",
    "watchers",
    *_text_names,
]
