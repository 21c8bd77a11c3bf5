"""Statement classes, proved from the text alone."""

import re
from functools import lru_cache

import sqlparse
from attrs import frozen
from sqlparse import tokens as kinds

from bramleyrill_core._values import StatementClass
from bramleyrill_core.sessions._functions import ALLOWED_FUNCTIONS, PARENTHESIS_WORDS

CACHE_SIZE = 4096
# Lexing costs about 1 us per character; longer texts are taken for writes by their first word.
MAX_LEXED = 16 * 1024
# The cache holds at most CACHE_SIZE texts of this size, 8 MB.
MAX_CACHED = 2 * 1024

_UNSUPPORTED = frozenset(
    ["COPY", "LISTEN", "NOTIFY", "UNLISTEN", "START_REPLICATION", "IDENTIFY_SYSTEM"]
    + ["CREATE_REPLICATION_SLOT", "DROP_REPLICATION_SLOT", "BASE_BACKUP", "TIMELINE_HISTORY"]
)
_READS = frozenset(["SELECT", "VALUES", "TABLE"])
_CHANGES = frozenset(["INSERT", "UPDATE", "DELETE"])
_BEGIN = re.compile(r"(BEGIN|START TRANSACTION)\b")
_COMMIT = re.compile(r"(COMMIT|END)( WORK| TRANSACTION)?( AND NO CHAIN)?$")
_ROLLBACK = re.compile(r"(ROLLBACK|ABORT)( WORK| TRANSACTION)?( AND NO CHAIN)?$")
# Savepoints stay within the transaction and change nothing beyond it.
_SAVEPOINT = re.compile(r"(SAVEPOINT|RELEASE|ROLLBACK (WORK |TRANSACTION )?TO)\b")
_LOCKING = re.compile(r"\bFOR (UPDATE|SHARE|NO KEY|KEY SHARE)\b|\bINTO\b")
_SETTING = re.compile(
    r"\s*SET\s+(?:SESSION\s+)?([\w.]+)\s*(?:=|\s+TO\s)\s*('(?:[^'\\]|'')*'|[^\s;']+)\s*;?\s*$",
    re.IGNORECASE,
)
# A token is accepted only if PostgreSQL reads it the same way. sqlparse also knows backslash
# escapes, backquotes, brackets as names and # comments, which could hide a second statement.
_SAME_TOKEN = re.compile(
    r"'(?:[^'\\]|'')*'|\"(?:[^\"\\]|\"\")*\"|\$\d+|[A-Za-z_]\w*(?:\s+[A-Za-z_]\w*)*"
    r"|-?\d+(?:\.\d*)?(?:[eE][+-]?\d+)?|-?\.\d+|::|[-+*/<>=~!@%^&|?]{1,3}|[,.;:()\[\]]",
    re.ASCII,
)
# PostgreSQL takes other white space for part of a name.
_SAME_SPACE = re.compile(r"[ \t\n\r\f]*")
_SHAPEABLE = re.compile(r"[^\\\"$`#]*")
_LITERAL = re.compile(r"'[^']*'|\b\d+\b", re.ASCII)


@frozen
class Statement:
    """What the text of a statement proves.

    `alters_session` tells whether the connection must be reset afterwards; `feature` names what
    is not supported; `setting` is the (name, value) of a plain SET of one value.
    """

    kind: StatementClass
    alters_session: bool = True
    feature: str | None = None
    setting: tuple[str, str] | None = None


_WRITE = Statement(StatementClass.WRITE)


def classify(sql: str) -> Statement:
    """Return the class of a query string; what is not provably read-only is a write.

    Example: `classify("SELECT 1").kind is StatementClass.READ`.
    """
    if len(sql) > MAX_LEXED:
        return _classify_long(sql)
    # Statements that differ only in literals share a cache entry. Without backslashes, dollar
    # quotes, quoted names and comments, quotes pair up in the same way for everyone.
    if _SHAPEABLE.fullmatch(sql) and "--" not in sql and "/*" not in sql:
        found = _cached(_LITERAL.sub(_plain_literal, sql))
        if found.kind is not StatementClass.SET:
            return found
    return _cached(sql) if len(sql) <= MAX_CACHED else _classify_text(sql)


def _plain_literal(match: re.Match) -> str:
    return "''" if match[0][0] == "'" else "0"


def _classify_long(sql: str) -> Statement:
    match = re.search(r"[A-Za-z_]+", sql[:MAX_LEXED])
    word = match[0].upper() if match else ""
    if word in _UNSUPPORTED:
        return Statement(StatementClass.UNSUPPORTED, feature=word)
    return _WRITE


def _classify_text(sql: str) -> Statement:
    statements: list[list[tuple[str, str]]] = [[]]
    provable = True
    bare = []
    for kind, value in sqlparse.lexer.tokenize(sql):
        if kind in kinds.Whitespace or kind in kinds.Newline:
            provable &= _SAME_SPACE.fullmatch(value) is not None
        elif kind in kinds.Comment:
            provable &= _is_plain_comment(value)
            continue
        elif value == ";":
            statements.append([])
        else:
            provable &= _SAME_TOKEN.fullmatch(value) is not None
            statements[-1].extend(_words(value))
        bare.append("'" if value[0] in "'\"" else value)
    # sqlparse reads `+--` and `+/*` as operators where PostgreSQL starts a comment.
    text = "".join(bare)
    provable &= "--" not in text and "/*" not in text
    full = [statement for statement in statements if statement]
    for statement in full:
        if statement[0][1] in _UNSUPPORTED:
            return Statement(StatementClass.UNSUPPORTED, feature=statement[0][1])
    if not full:
        return Statement(StatementClass.READ, False) if provable else _WRITE
    if len(full) > 1 or not provable:
        return _WRITE
    return _classify_one(sql, full[0])


_cached = lru_cache(CACHE_SIZE)(_classify_text)


def _is_plain_comment(value: str) -> bool:
    """Refuse nested comments, which end later in PostgreSQL, and comments of other dialects."""
    if value.startswith("/*"):
        return "/*" not in value[2:]
    return value.startswith("--")


def _words(value: str) -> list[tuple[str, str]]:
    """Return (kind, upper-case word): `w` unquoted word, `q` quoted or literal, `p` the rest."""
    if value[0] in "'\"$":
        return [("q", "")]
    if value[0].isalpha() or value[0] == "_":
        # Upper case maps some other letters to ASCII ones, which would match a listed name.
        return [("w", word.upper() if word.isascii() else word) for word in value.split()]
    return [("p", value)]


def _classify_one(sql: str, words: list[tuple[str, str]]) -> Statement:
    # Joined with a mark for what is no word, so that patterns match adjacent words only.
    text = " ".join(word if kind == "w" else "," for kind, word in words)
    first = words[0][1]
    if _BEGIN.match(text):
        return Statement(StatementClass.BEGIN, False)
    if _COMMIT.match(text):
        return Statement(StatementClass.COMMIT, False)
    if _ROLLBACK.match(text):
        return Statement(StatementClass.ROLLBACK, False)
    if _SAVEPOINT.match(text):
        return Statement(StatementClass.WRITE, False)
    if first == "SHOW":
        return Statement(StatementClass.READ, False)
    if first in ("SET", "RESET"):
        return Statement(StatementClass.SET, setting=_read_setting(sql))
    plain = _calls_allowed_only(words)
    if first in _READS and plain and not _LOCKING.search(text):
        return Statement(StatementClass.READ, False)
    # SELECT ... INTO TEMP TABLE leaves a table behind in the session.
    unaltered = plain and (first in _CHANGES or (first in _READS and "INTO" not in text))
    return Statement(StatementClass.WRITE, not unaltered)


def _read_setting(sql: str) -> tuple[str, str] | None:
    match = _SETTING.match(sql)
    if match is None:
        return None
    value = match[2]
    if value.startswith("'"):
        value = value[1:-1].replace("''", "'")
    return match[1].lower(), value


def _calls_allowed_only(words: list[tuple[str, str]]) -> bool:
    """Tell whether each word before a parenthesis is syntax or an unqualified allowed function."""
    for index, (_, word) in enumerate(words):
        if word != "(" or index == 0:
            continue
        before_kind, before = words[index - 1]
        if before_kind == "q":
            return False
        if before_kind == "w" and before not in PARENTHESIS_WORDS:
            prior = words[index - 2][1] if index > 1 else ""
            if prior == "." or (before not in ALLOWED_FUNCTIONS and prior not in ("AS", "INTO")):
                return False
    return True
