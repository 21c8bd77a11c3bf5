"""Classification of SQL statements by their text alone."""

import re
from functools import lru_cache

import sqlparse
from attrs import frozen
from sqlparse import tokens as token_types

from bramleyrill_core._values import StatementClass
from bramleyrill_core.sessions._functions import ALLOWED_FUNCTIONS, PARENTHESIS_WORDS

MAX_CACHE_ENTRIES = 4096
# Lexing costs about 1 us per character. A longer text counts as a write, unless its first word
# begins an unsupported statement.
MAX_LEXED_CHARACTERS = 16 * 1024
# Bounds the cache to 8 MB of text in its MAX_CACHE_ENTRIES entries.
MAX_CACHED_CHARACTERS = 2 * 1024

_UNSUPPORTED = frozenset(
    ["COPY", "LISTEN", "NOTIFY", "UNLISTEN", "START_REPLICATION", "IDENTIFY_SYSTEM"]
    + ["CREATE_REPLICATION_SLOT", "DROP_REPLICATION_SLOT", "BASE_BACKUP", "TIMELINE_HISTORY"]
)
_READS = frozenset(["SELECT", "VALUES", "TABLE"])
_DATA_CHANGES = frozenset(["INSERT", "UPDATE", "DELETE"])
_BEGIN = re.compile(r"(BEGIN|START TRANSACTION)\b")
_COMMIT = re.compile(r"(COMMIT|END)( WORK| TRANSACTION)?( AND NO CHAIN)?$")
_ROLLBACK = re.compile(r"(ROLLBACK|ABORT)( WORK| TRANSACTION)?( AND NO CHAIN)?$")
# Savepoint commands affect only the open transaction.
_SAVEPOINT = re.compile(r"(SAVEPOINT|RELEASE|ROLLBACK (WORK |TRANSACTION )?TO)\b")
_LOCKING = re.compile(r"\bFOR (UPDATE|SHARE|NO KEY|KEY SHARE)\b|\bINTO\b")
_SETTING = re.compile(
    r"\s*SET\s+(?:SESSION\s+)?([\w.]+)\s*(?:=|\s+TO\s)\s*('(?:[^'\\]|'')*'|[^\s;']+)\s*;?\s*$",
    re.IGNORECASE,
)
# Matches the tokens that sqlparse and PostgreSQL read alike. sqlparse also accepts backslash
# escapes, backquotes, bracketed names and # comments, any of which could hide a second statement.
_UNAMBIGUOUS_TOKEN = re.compile(
    r"'(?:[^'\\]|'')*'|\"(?:[^\"\\]|\"\")*\"|\$\d+|[A-Za-z_]\w*(?:\s+[A-Za-z_]\w*)*"
    r"|-?\d+(?:\.\d*)?(?:[eE][+-]?\d+)?|-?\.\d+|::|[-+*/<>=~!@%^&|?]{1,3}|[,.;:()\[\]]",
    re.ASCII,
)
# PostgreSQL treats other white space as part of a name.
_UNAMBIGUOUS_WHITESPACE = re.compile(r"[ \t\n\r\f]*")
_SAFE_TO_NORMALIZE = re.compile(r"[^\\\"$`#]*")
_LITERAL = re.compile(r"'[^']*'|\b\d+\b", re.ASCII)


@frozen
class ClassifiedStatement:
    """Class of a statement and the properties that its text proves.

    `alters_session` is true if the connection must be reset after the statement. `feature` names
    the unsupported feature of a statement of class UNSUPPORTED. `setting` is the (name, value) of
    a plain SET of one value.
    """

    kind: StatementClass
    alters_session: bool = True
    feature: str | None = None
    setting: tuple[str, str] | None = None


_WRITE = ClassifiedStatement(StatementClass.WRITE)


def classify(sql: str) -> ClassifiedStatement:
    """Classify a query string; whatever is not provably read-only is a write.

    Example: `classify("SELECT 1").kind is StatementClass.READ`.
    """
    if len(sql) > MAX_LEXED_CHARACTERS:
        return _classify_long(sql)
    # Statements that differ only in their literals share a cache entry. Literals are replaced
    # only where every lexer pairs the quotes alike: the text has no backslash, dollar quote,
    # quoted name or comment.
    if _SAFE_TO_NORMALIZE.fullmatch(sql) and "--" not in sql and "/*" not in sql:
        classified = _classify_cached(_LITERAL.sub(_literal_placeholder, sql))
        if classified.kind is not StatementClass.SET:
            return classified
    return _classify_cached(sql) if len(sql) <= MAX_CACHED_CHARACTERS else _classify_text(sql)


def _literal_placeholder(match: re.Match) -> str:
    return "''" if match[0][0] == "'" else "0"


def _classify_long(sql: str) -> ClassifiedStatement:
    match = re.search(r"[A-Za-z_]+", sql[:MAX_LEXED_CHARACTERS])
    word = match[0].upper() if match else ""
    if word in _UNSUPPORTED:
        return ClassifiedStatement(StatementClass.UNSUPPORTED, feature=word)
    return _WRITE


def _classify_text(sql: str) -> ClassifiedStatement:
    statements: list[list[tuple[str, str]]] = [[]]
    unambiguous = True
    fragments = []
    for token_type, value in sqlparse.lexer.tokenize(sql):
        if token_type in token_types.Whitespace or token_type in token_types.Newline:
            unambiguous &= _UNAMBIGUOUS_WHITESPACE.fullmatch(value) is not None
        elif token_type in token_types.Comment:
            unambiguous &= _is_plain_comment(value)
            continue
        elif value == ";":
            statements.append([])
        else:
            unambiguous &= _UNAMBIGUOUS_TOKEN.fullmatch(value) is not None
            statements[-1].extend(_split_words(value))
        fragments.append("'" if value[0] in "'\"" else value)
    # sqlparse reads `+--` and `+/*` as operators, PostgreSQL as the start of a comment.
    text = "".join(fragments)
    unambiguous &= "--" not in text and "/*" not in text
    nonempty = [statement for statement in statements if statement]
    for statement in nonempty:
        if statement[0][1] in _UNSUPPORTED:
            return ClassifiedStatement(StatementClass.UNSUPPORTED, feature=statement[0][1])
    if not nonempty:
        return ClassifiedStatement(StatementClass.READ, False) if unambiguous else _WRITE
    if len(nonempty) > 1 or not unambiguous:
        return _WRITE
    return _classify_one(sql, nonempty[0])


_classify_cached = lru_cache(MAX_CACHE_ENTRIES)(_classify_text)


def _is_plain_comment(value: str) -> bool:
    """Return whether both lexers end the comment at the same place.

    PostgreSQL nests comments, so a nested one ends later there, and it does not know the comments
    of other dialects.
    """
    if value.startswith("/*"):
        return "/*" not in value[2:]
    return value.startswith("--")


def _split_words(value: str) -> list[tuple[str, str]]:
    """Return (kind, upper-case word) pairs.

    The kind is `w` for an unquoted word, `q` for a quoted name or a literal and `p` for the rest.
    """
    if value[0] in "'\"$":
        return [("q", "")]
    if value[0].isalpha() or value[0] == "_":
        # `upper` maps some non-ASCII letters to ASCII ones, which could then match a listed name.
        return [("w", word.upper() if word.isascii() else word) for word in value.split()]
    return [("p", value)]


def _classify_one(sql: str, words: list[tuple[str, str]]) -> ClassifiedStatement:
    # A comma stands for whatever is not a word, so that the patterns match only adjacent words.
    text = " ".join(word if kind == "w" else "," for kind, word in words)
    first_word = words[0][1]
    if _BEGIN.match(text):
        return ClassifiedStatement(StatementClass.BEGIN, False)
    if _COMMIT.match(text):
        return ClassifiedStatement(StatementClass.COMMIT, False)
    if _ROLLBACK.match(text):
        return ClassifiedStatement(StatementClass.ROLLBACK, False)
    if _SAVEPOINT.match(text):
        return ClassifiedStatement(StatementClass.WRITE, False)
    if first_word == "SHOW":
        return ClassifiedStatement(StatementClass.READ, False)
    if first_word in ("SET", "RESET"):
        return ClassifiedStatement(StatementClass.SET, setting=_read_setting(sql))
    only_allowed_calls = _calls_only_allowed_functions(words)
    if first_word in _READS and only_allowed_calls and not _LOCKING.search(text):
        return ClassifiedStatement(StatementClass.READ, False)
    # SELECT ... INTO TEMP TABLE leaves a table in the session.
    keeps_session = only_allowed_calls and (
        first_word in _DATA_CHANGES or (first_word in _READS and "INTO" not in text)
    )
    return ClassifiedStatement(StatementClass.WRITE, not keeps_session)


def _read_setting(sql: str) -> tuple[str, str] | None:
    match = _SETTING.match(sql)
    if match is None:
        return None
    value = match[2]
    if value.startswith("'"):
        value = value[1:-1].replace("''", "'")
    return match[1].lower(), value


def _calls_only_allowed_functions(words: list[tuple[str, str]]) -> bool:
    """Return whether only keywords and unqualified allowed functions precede a parenthesis."""
    for index, (_, word) in enumerate(words):
        if word != "(" or index == 0:
            continue
        previous_kind, previous = words[index - 1]
        if previous_kind == "q":
            return False
        if previous_kind == "w" and previous not in PARENTHESIS_WORDS:
            before_previous = words[index - 2][1] if index > 1 else ""
            if before_previous == "." or (
                previous not in ALLOWED_FUNCTIONS and before_previous not in ("AS", "INTO")
            ):
                return False
    return True
