"""Settings, switches and counters of one member."""

from attrs import define, field
from bramleyrill_wire.postgres import Verifier, make_verifier


@define
class MemberSettings:
    """Settings of a member; times are in seconds.

    `lag` delays the application of each entry while the member is a replica. `dial` is the time
    that a new connection takes, `service` the time that a statement takes. `latency` is the one-way
    delay to and from callers; `latency_by_peer` replaces it for peers with an application name,
    user or address. With empty `passwords` every user is accepted without authentication. `slots`
    limits the statements that run at once; 0 sets no limit. A session that is idle in a transaction
    for `idle_in_transaction` is ended; 0 sets no limit. `scram` selects SCRAM-SHA-256 instead of
    clear-text passwords. `journal` is a file in which term and log survive a kill of the process;
    without it they are in memory only.
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
        """Return the one-way delay of the peer with these names; the last match applies."""
        if self.latency_by_peer:
            for name in reversed(names):
                if name in self.latency_by_peer:
                    return self.latency_by_peer[name]
        return self.latency

    def verifier(self, user: str) -> Verifier:
        """Return the SCRAM verifier of a user, cached since its derivation takes milliseconds."""
        if user not in self._verifiers:
            self._verifiers[user] = make_verifier(self.passwords[user])
        return self._verifiers[user]


@define
class Switches:
    """Active faults of a member.

    `silence` is `off` or `all`. `cut` has the names, users, application names or addresses of the
    peers that are cut off; `*` cuts off all. `slow` is added to the time of each statement, in
    seconds.
    """

    killed: bool = False
    frozen: bool = False
    silence: str = "off"
    cut: frozenset[str] = frozenset()
    slow: float = 0.0

    def is_cut_off(self, names: tuple[str, ...]) -> bool:
        """Return whether a peer with one of `names` is cut off."""
        return "*" in self.cut or not self.cut.isdisjoint(names)


@define
class Counters:
    """Counters of a member.

    `reads` and `writes` do not count statements that only control the member. `slot_violations`
    counts statements that arrived while all slots were in use. `applied_by_id` has, by NAME, how
    often a write with the comment `/* id=NAME */` occurs in the log.
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
