"""Messages between a VM and the hub of a group of teams."""

from attrs import frozen

# A VM's id and start time, as `id@started_ms`: a restarted VM knows nothing of its earlier leases.
VmKey = str


def vm_of(key: VmKey) -> str:
    """Return the id of the VM that a process runs on."""
    return key.rpartition("@")[0]


def is_later(key: VmKey, other: VmKey) -> bool:
    """Return whether a process of a VM started after another one of the same VM."""
    return int(key.rpartition("@")[2]) > int(other.rpartition("@")[2])


@frozen
class TeamReport:
    """A VM's tokens and needs of one team.

    `held` is the number of unused tokens, `returned` that of tokens given back with this report,
    `wanted` that of further ones, of which operations wait for `urgent`.
    """

    team: int
    held: int = 0
    returned: int = 0
    wanted: int = 0
    urgent: int = 0


@frozen
class Report:
    """Sent by a VM to the hub of a group.

    `stamp_us` is the sender's time, which the hub returns. `grant_number` is the number of the last
    grant that arrived. `lent` is the fraction of the group's limits that is lent from now on, and
    `hub_stamp_us` the hub's time that the lend counts from; 0 lends nothing. A report with
    `leaving` ends the lend. A `partial` one says nothing of the teams that it does not name; in any
    other the VM holds no tokens of those.
    """

    group: int
    stamp_us: int
    grant_number: int = 0
    lent: float = 0.0
    hub_stamp_us: int = 0
    teams: tuple[TeamReport, ...] = ()
    version: int = 0
    leaving: bool = False
    partial: bool = False


@frozen
class TeamGrant:
    """Tokens of one team for a VM; `retry_ms` is when the next is expected if too few are given.

    With `extended` the tokens that the VM reported as held last as long as the given ones; so do
    those of a reported team that a grant does not name.
    """

    team: int
    given: int = 0
    retry_ms: int = 0
    extended: bool = True


@frozen
class Grant:
    """Sent by a hub: the answer to a report, or a request to lend if `number` is 0.

    `report_stamp_us` is the VM's time from which the tokens last, `fraction` the sum of what is
    lent to the hub. With `released` the hub no longer uses what the VM has lent.
    """

    group: int
    stamp_us: int
    number: int = 0
    report_stamp_us: int = 0
    teams: tuple[TeamGrant, ...] = ()
    version: int = 0
    fraction: float = 0.0
    released: bool = False
