"""The succession objects of the platform: which members may be primary in which terms."""

from datetime import timedelta
from typing import Any

import gevent
from absl import logging
from bramleyrill_base import log_event
from bramleyrill_core import DatabaseId, VmId
from bramleyrill_core.membership import holders_of
from bramleyrill_core.succession import Span, SpansChanged, SuccessionTables

from bramleyrill_daemon._objects import ObjectReader
from bramleyrill_daemon._platform import Conflict, PlatformClient, PlatformError
from bramleyrill_daemon._shell import Shell

OBJECT_KIND = "succession"
# Spans change only with the member lists of the text. An outdated list is safe: a supervisor does
# not act in the terms of a span that it does not know.
REREAD_INTERVAL = timedelta(seconds=60)
POLL_INTERVAL = timedelta(milliseconds=500)


def object_name(database: DatabaseId) -> str:
    """Return the object name `fleet.service.database`."""
    return database.replace("/", ".")


def encode_spans(spans: tuple[Span, ...]) -> dict[str, Any]:
    """Return the value to store for the spans."""
    return {"spans": [{"first_term": s.first_term, "members": list(s.members)} for s in spans]}


def decode_spans(value: Any) -> tuple[Span, ...]:
    """Return the spans of a stored value; raise ValueError if it is malformed."""
    try:
        return tuple(
            Span(int(entry["first_term"]), tuple(str(name) for name in entry["members"]))
            for entry in value["spans"]
        )
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"malformed spans: {error!r}") from error


class SpanStore:
    """Reads and appends the spans of the databases that this VM helps to supervise."""

    def __init__(self, shell: Shell) -> None:
        self._shell = shell
        self._platform: PlatformClient = shell.component(PlatformClient)
        self._objects: ObjectReader = shell.component(ObjectReader)
        self._read_at: dict[DatabaseId, timedelta] = {}

    def append(self, database: DatabaseId, expected_count: int, span: Span) -> None:
        """Append a span if `expected_count` spans are stored; pass the stored spans to the core."""
        name = object_name(database)
        try:
            stored = self._platform.get(OBJECT_KIND, name)
            spans = decode_spans(stored.value) if stored is not None else ()
            if len(spans) == expected_count:
                extended = (*spans, span)
                version = stored.version if stored is not None else 0
                result = self._platform.put(OBJECT_KIND, name, encode_spans(extended), version)
                if not isinstance(result, Conflict):
                    spans = extended
                    self._objects.keep_newest(OBJECT_KIND, name, result)
                elif result.current is not None:
                    spans = decode_spans(result.current.value)
        except (PlatformError, ValueError) as error:
            # The append may have succeeded if only its answer was lost; `run` reads again.
            log_event("span_append_failed", database=database, error=error)
            self._read_at.pop(database, None)
            return
        log_event("spans", database=database, count=len(spans))
        self._report_spans(database, spans)

    def run(self) -> None:
        """Poll the spans of this VM's databases; never returns."""
        while True:
            tables = self._shell.world.tables(SuccessionTables)
            now = self._shell.world.clock.monotonic()
            for database in list(tables.groups.by_id):
                has_spans = bool(tables.spans.get(database))
                read_at = self._read_at.get(database)
                if read_at is None or (not has_spans or now - read_at >= REREAD_INTERVAL):
                    self._read(database, now)
            gevent.sleep(POLL_INTERVAL.total_seconds())

    def _read(self, database: DatabaseId, now: timedelta) -> None:
        try:
            stored = self._objects.read(OBJECT_KIND, object_name(database), self._holders(database))
            spans = decode_spans(stored.value) if stored is not None else ()
        except PlatformError as error:
            log_event("platform_down", during="spans", error=error)
            return
        except ValueError as error:
            log_event("spans_malformed", level=logging.ERROR, database=database, error=error)
            return
        self._read_at[database] = now
        self._report_spans(database, spans)

    def _holders(self, database: DatabaseId) -> list[VmId]:
        """Return the VMs that supervise the database; these have read its spans already."""
        try:
            holders = holders_of(self._shell.world, database).values()
        except KeyError:
            return []
        return sorted({vm for vm in holders if vm is not None})

    def _report_spans(self, database: DatabaseId, spans: tuple[Span, ...]) -> None:
        if spans:
            self._shell.handle(SpansChanged(database, spans))
