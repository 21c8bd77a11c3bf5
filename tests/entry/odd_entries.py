"""Values that another writer may leave among the members' entries, as raw bytes."""

import json

from tests.entry.test_decode import ENTRY

NESTED = b"[" * 3000 + b"]" * 3000
# Less deep than the parser's limit, so that the value is read, but cannot be told to others.
NEARLY_TOO_NESTED = b"[" * 900 + b"]" * 900


def raw(**changes):
    """Return an entry with some fields changed; bytes are used as they are."""
    fields = {name: json.dumps(value).encode() for name, value in ENTRY.items()}
    for name, value in changes.items():
        fields[name] = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"{" + b",".join(b'"%s":%s' % (n.encode(), v) for n, v in fields.items()) + b"}"


# None of them names a member to use.
UNUSABLE = {
    "nested list": raw(slots=NESTED),
    "nested object": raw(slots=b'{"a":' * 3000 + b"1" + b"}" * 3000),
    "nested extra field": raw(extra=NESTED),
    "nested key": b'{"backend":"pieces","x":{"y":' + NESTED + b"}}",
    "nested value": NESTED,
    "nearly too nested": raw(slots=NEARLY_TOO_NESTED),
    "number with many digits": raw(slots=b"9" * 5000),
    "fraction with many digits": raw(slots=b"0." + b"9" * 5000),
    "exponent": raw(slots=b"1e400"),
    "slots beyond all members": raw(slots=2**53),
    "slots beyond 64 bits": raw(slots=2**70),
    "not a number": raw(slots=b"NaN"),
    "port out of range": raw(address="10.0.0.9:99999"),
    "port zero": raw(address="10.0.0.9:0"),
    "negative port": raw(address="10.0.0.9:-1"),
    "port with many digits": raw(address="10.0.0.9:" + "9" * 5000),
    "port in other digits": raw(address="10.0.0.9:\u0663\u0663"),
    "port as a number": raw(address=8080),
    "no host": raw(address=":8080"),
    "long host": raw(address="a" * 300 + ":8080"),
    "host with a blank": raw(address="10.0.0.9 x:8080"),
    "host with a null": raw(address="10.0.0.9\x00:8080"),
    "zone with a line end": raw(zone="north\r\na"),
    "zone without characters": raw(zone=""),
    "half a surrogate pair": raw(zone=b'"\\ud800"'),
    "half a surrogate pair as service": raw(backend=b'"\\ud800"'),
    "bytes that are no UTF-8": raw(zone=b'"\xff\xfe"'),
    "bytes that are no UTF-8 in a key": b'{"\xff":1}',
    "only bytes": b'"\xff\xfe\x80"',
    "line end in a string": raw(zone=b'"a\nb"'),
    "text": b'"server"',
    "number": b"7",
    "null": b"null",
    "list": b"[]",
    "empty object": b"{}",
    "state of another kind": raw(state=["ready"]),
    "unknown state": raw(state="upgrading"),
}

# Usable as far as the fields go that are read; the others must do no harm.
HARMLESS = {
    "huge start time": raw(born=b"9" * 4000),
    "negative start time": raw(born=-1),
    "huge warm-up": raw(warmupLeftMs=b"1e308"),
    "unknown domain": raw(zone="nowhere"),
    "unknown service": raw(backend="ghosts"),
    "primary of an unknown service": raw(backend="ghosts", dbRole="primary"),
    "nearly too nested extra field": raw(extra=NEARLY_TOO_NESTED),
    "large extra field": raw(extra="x" * 500_000),
}
