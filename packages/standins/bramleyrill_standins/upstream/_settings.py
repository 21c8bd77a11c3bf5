"""Settings, switches and counters of one member."""

from attrs import define, field
from bramleyrill_wire.postgres import Verifier, make_verifier


@define
class MemberSettings:
    """What a member is told at its start; times are in seconds.

    `lag` delays the application of each entry on this member while it is a replica; `dial` is the
    time that a new connection takes; `latency` is the one-way delay to and from callers, and
    `latency_by_peer` replaces it for peers known by application name or address. An empty
    `passwords` accepts every user without authentication. `journal` is a file that keeps term and
    log over a kill of the process; without it they are in memory only.
    """

    name: str
    first_leader: str
    host: str = "127.0.0.1"
    port: int = 0
    lag: float = 0.0
    dial: float = 0.0
    connections: int = 100
    slots: int = 0
    service: float = 0.0
    latency: float = 0.0
    latency_by_peer: dict[str, float] = field(factory=dict)
    idle_in_transaction: float = 0.0
    passwords: dict[str, str] = field(factory=dict)
    scram: bool = True
    journal: str = ""
    tls_certificate: str = ""
    tls_key: str = ""
    _verifiers: dict[str, Verifier] = field(factory=dict, init=False)

    def latency_of(self, names: tuple[str, ...]) -> float:
        """Return the one-way delay of a peer known by any of `names`."""
        if self.latency_by_peer:
            for name in reversed(names):
                if name in self.latency_by_peer:
                    return self.latency_by_peer[name]
        return self.latency

    def verifier(self, user: str) -> Verifier:
        """Return the SCRAM verifier of a user, derived once: a derivation takes milliseconds."""
        if user not in self._verifiers:
            self._verifiers[user] = make_verifier(self.passwords[user])
        return self._verifiers[user]


@define
class Switches:
    """Faults that are in force on a member.

    `silence` is `off` or `all`; `cut` holds peers by name, application name or address, and `*`
    means everybody.
    """

    killed: bool = False
    frozen: bool = False
    silence: str = "off"
    cut: frozenset[str] = frozenset()
    slow: float = 0.0

    def cuts(self, names: tuple[str, ...]) -> bool:
        """Tell whether a peer known by any of `names` is cut off."""
        return "*" in self.cut or not self.cut.isdisjoint(names)


@define
class Counters:
    """Counted events of a member.

    `reads` and `writes` leave out what only controls the member. `slot_violations` counts
    statements that arrived while all slots were in use. `applied_by_id` counts how often a write
    that carries the comment `/* id=NAME */` is in the log.
    """

    connections: int = 0
    connections_max: int = 0
    connections_made: int = 0
    connections_refused: int = 0
    statements: int = 0
    reads: int = 0
    writes: int = 0
    statements_now: int = 0
    statements_max: int = 0
    slot_violations: int = 0
    commits: int = 0
    fence_aborts: int = 0
    applied_by_id: dict[str, int] = field(factory=dict)
