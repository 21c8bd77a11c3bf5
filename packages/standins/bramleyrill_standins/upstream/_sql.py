"""Statement text: splitting, classification and translation from PostgreSQL to sqlite."""

import functools
import re
from enum import Enum

from attrs import frozen


class Kind(Enum):
    """Kind of a statement, which determines how the session runs it."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SETTING = "setting"
    SHOW = "show"
    DISCARD = "discard"
    DEALLOCATE = "deallocate"
    UNSUPPORTED = "unsupported"
    EMPTY = "empty"


@frozen
class Statement:
    """A parsed statement.

    `word` is the first keyword in lower case, `translated` the text for sqlite. A `control`
    statement needs no slot. `entry_id` is the NAME of a comment `/* id=NAME */`, `sleep` the
    argument of pg_sleep.
    """

    sql: str
    kind: Kind
    word: str
    translated: str
    control: bool
    entry_id: str
    sleep: str
    parameter_count: int
    returns_rows: bool


_KINDS = {
    **dict.fromkeys(("select", "values", "table", "with"), Kind.READ),
    **dict.fromkeys(
        ("insert", "update", "delete", "create", "drop", "alter", "truncate", "replace"), Kind.WRITE
    ),
    **dict.fromkeys(("begin", "start"), Kind.BEGIN),
    **dict.fromkeys(("commit", "end"), Kind.COMMIT),
    **dict.fromkeys(("rollback", "abort"), Kind.ROLLBACK),
    **dict.fromkeys(("savepoint", "release"), Kind.SAVEPOINT),
    **dict.fromkeys(("set", "reset"), Kind.SETTING),
    "show": Kind.SHOW,
    "discard": Kind.DISCARD,
    "deallocate": Kind.DEALLOCATE,
    "": Kind.EMPTY,
}
# Strings, quoted names, dollar quotes and comments are separate tokens, which no rewrite changes.
_TOKEN = re.compile(
    r"'(?:[^']|'')*'|\"(?:[^\"]|\"\")*\"|\$\$.*?\$\$|/\*.*?\*/|--[^\n]*|;|[^'\"$/;-]+|.", re.S
)
_LEADING = re.compile(r"(?:\s|/\*.*?\*/|--[^\n]*(?:\n|$))*([A-Za-z]*)", re.S)
_ENTRY_ID = re.compile(r"/\*\s*id=(\S+?)\s*\*/")
_CONTROL = re.compile(
    r"\b(?:group_\w+|pg_locks|pg_stat_activity|pg_backend_pid|pg_terminate_backend"
    r"|pg_(?:try_)?advisory_\w+)\b",
    re.I,
)
_SLEEP = re.compile(r"\bpg_sleep\s*\(\s*'?([\d.]+|\$\d+)'?[^)]*\)", re.I)
_PARAMETER = re.compile(r"\$(\d+)")
_RETURNING = re.compile(r"\breturning\b", re.I)
_WRITE_IN_WITH = re.compile(r"\b(?:insert\s+into|update\s+\w+\s+set|delete\s+from)\b", re.I)
_CAST_NUMBER = re.compile(
    r"('(?:[^']|'')*'|\$\d+|\b\w+(?:\([^()]*\))?)::(?:int[248]?|integer|bigint|smallint)\b", re.I
)
_REWRITES = (
    (re.compile(r"::\w+(?:\(\d+(?:,\d+)?\))?(?:\[\])?"), ""),
    (re.compile(r"\b(?:big|small)?serial\b", re.I), "INTEGER"),
    (re.compile(r"\bbigint\s+primary\s+key\b", re.I), "INTEGER PRIMARY KEY"),
    (re.compile(r"\bfor\s+(?:no\s+key\s+)?(?:update|share)\b(?:\s+nowait)?", re.I), ""),
    (re.compile(r"\bilike\b", re.I), "LIKE"),
    (re.compile(r"\btruncate\s+(?:table\s+)?", re.I), "DELETE FROM "),
    (re.compile(r"\bpg_catalog\.", re.I), ""),
    (
        re.compile(r"\bgenerate_series\s*\(\s*([^,()]+),\s*([^,()]+)\)", re.I),
        r"(WITH RECURSIVE s(generate_series) AS (SELECT CAST(\1 AS INTEGER) UNION ALL"
        r" SELECT generate_series + 1 FROM s WHERE generate_series < CAST(\2 AS INTEGER))"
        r" SELECT generate_series FROM s) AS generate_series",
    ),
)


@functools.lru_cache(maxsize=4096)
def parse_all(source: str) -> tuple["Statement", ...]:
    """Return the parsed statements of a query string."""
    return tuple(parse(sql) for sql in split(source))


def split(source: str) -> list[str]:
    """Return the non-empty statements of a query string."""
    statements = [[]]
    for token in _TOKEN.findall(source):
        if token == ";":
            statements.append([])
        else:
            statements[-1].append(token)
    texts = ["".join(tokens).strip() for tokens in statements]
    return [text for text in texts if text]


def _rewrite_plain(text: str) -> str:
    for pattern, replacement in _REWRITES:
        text = pattern.sub(replacement, text)
    return text


def translate(sql: str) -> str:
    """Return the sqlite form of a statement."""
    sql = _CAST_NUMBER.sub(r"CAST(\1 AS INTEGER)", sql)
    parts = []
    plain = []
    for token in _TOKEN.findall(sql):
        if token[0] in "'\"" or token.startswith(("/*", "--", "$$")):
            parts.append(_rewrite_plain("".join(plain)))
            plain = []
            parts.append(token)
        else:
            plain.append(token)
    parts.append(_rewrite_plain("".join(plain)))
    return "".join(parts)


@functools.lru_cache(maxsize=4096)
def parse(sql: str) -> Statement:
    """Parse one statement."""
    word = _LEADING.match(sql).group(1).lower()
    kind = _KINDS.get(word, Kind.UNSUPPORTED)
    if kind is Kind.EMPTY and sql.strip().startswith("("):
        kind = Kind.READ
    if word == "with" and _WRITE_IN_WITH.search(sql):
        kind = Kind.WRITE
    entry_id = _ENTRY_ID.search(sql)
    sleep = _SLEEP.search(sql)
    return Statement(
        sql=sql,
        kind=kind,
        word=word,
        translated=translate(sql) if kind in (Kind.READ, Kind.WRITE) else sql,
        control=_CONTROL.search(sql) is not None,
        entry_id=entry_id.group(1) if entry_id else "",
        sleep=sleep.group(1) if sleep else "",
        parameter_count=max((int(number) for number in _PARAMETER.findall(sql)), default=0),
        returns_rows=kind in (Kind.READ, Kind.SHOW) or _RETURNING.search(sql) is not None,
    )
