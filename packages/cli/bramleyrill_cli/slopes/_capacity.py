"""The capacity page's tables: measured slopes, and what they come to at the target's size."""

from typing import Any

from attrs import frozen

# The target, from the users' letter.
NODES = 1200
DATABASES = 1800
MEMBERS = 3 * DATABASES
CLIENT_CONNECTIONS = 8_100_000
STATEMENTS_PER_S = 1_000_000
DOMAINS = 6
CHANGES_PER_DAY = 1100
RESTARTS_PER_DAY = 570
CONTROL_CORE_SHARE = 0.039
CONTROL_BYTES = 32_000_000
CONTROL_BYTES_PER_S = 11_000

# Settings at the target; today's probe interval is 250 ms.
PROBE_INTERVAL_S = 0.5
PROBE_INTERVAL_MEASURED_S = 0.25
# The primary's holder probes three members, the two others the primary and their own member.
PROBES_PER_DATABASE = 7
# A single holder of all members, as measured, probes each of the three once.
PROBES_MEASURED = 3
# A ping sent and one received each second, and the answers.
HEARTBEAT_FRAMES_PER_S = 4
UPDATES_PER_HEARTBEAT = 8
# A restart is seen as leaving, left, joining and alive; each is passed on some 33 times by each VM.
STATES_PER_RESTART = 4
TIMES_PASSED_ON = 33
# IPv4 and TCP with timestamps; a probe takes a packet each way and a third for its receipt.
HEADER_BYTES = 52
PACKETS_PER_PROBE = 3
PACKETS_PER_HEARTBEAT = 1.5
LISTED_VM_BYTES = 120
LIST_INTERVAL_S = 60
DAY_S = 86_400
WATCHERS_PER_DOMAIN = 2
SECRETS_INTERVAL_S = 30
SPANS_INTERVAL_S = 60
PLATFORM_READS_PER_S = 2000


@frozen
class Line:
    """One line of the table: what, the target, the formula, the figure, the verdict."""

    what: str
    target: str
    formula: str
    figure: str
    verdict: str


def fill_page(page: str, document: dict[str, Any]) -> str:
    """Return the page with both tables put between their marks."""
    tables = {"target table": target_table(document), "slope table": slope_table(document)}
    for name, table in tables.items():
        start, end = f"<!-- {name} -->\n", "\n<!-- end -->"
        head, _, rest = page.partition(start)
        _, _, tail = rest.partition(end.lstrip())
        page = f"{head}{start}{table}{end}{tail}"
    return page


def slope_table(document: dict[str, Any]) -> str:
    """Return the table of measured slopes in Markdown."""
    rows = ["| slope | for each | fixed part | check at the largest size |", "|---|---|---|---|"]
    for name, slope in sorted(document["slopes"].items()):
        largest = slope["points"][-1]
        rows.append(
            f"| `{name}` | {slope['per_unit']:.4g} {slope['unit']} a {slope['of']}"
            f" | {slope['fixed']:.4g} {slope['unit']}"
            f" | {slope['check_error']:.1%} off at {largest['size']:.0f} |"
        )
    return "\n".join(rows)


def target_table(document: dict[str, Any]) -> str:
    """Return the table of the target's lines in Markdown."""
    rows = ["| line | target | worked out | figure | verdict |", "|---|---|---|---|---|"]
    for line in worked_out(document):
        rows.append(
            f"| {line.what} | {line.target} | {line.formula} | {line.figure} | {line.verdict} |"
        )
    return "\n".join(rows)


def worked_out(document: dict[str, Any]) -> list[Line]:
    """Return every line that is worked out from a slope."""
    slopes = document["slopes"]

    def at(name: str, size: float) -> float:
        return slopes[name]["fixed"] + slopes[name]["per_unit"] * size

    def each(name: str) -> float:
        return slopes[name]["per_unit"]

    sessions = CLIENT_CONNECTIONS / NODES
    statements = STATEMENTS_PER_S / NODES
    held = DATABASES / NODES
    session_bytes = at("idle_session_bytes", sessions)
    statement_core = at("forwarded_statement_us", statements) / 1e6

    probes = PROBES_PER_DATABASE / PROBES_MEASURED
    probes *= PROBE_INTERVAL_MEASURED_S / PROBE_INTERVAL_S
    supervision_us = each("control_process_us") * held * probes
    ticks_us = slopes["control_process_us"]["fixed"]
    membership_us = at("membership_tick_us", NODES)
    frames_us = HEARTBEAT_FRAMES_PER_S * (each("heartbeat_codec_us") + at("heartbeat_us", NODES))
    text_us = at("text_check_us", DATABASES) * CHANGES_PER_DAY / DAY_S
    control_core = (supervision_us + ticks_us + membership_us + frames_us + text_us) / 1e6

    view = at("membership_bytes", NODES)
    text = at("text_held_bytes", DATABASES)
    groups = each("control_process_bytes") * held * 3
    source = at("text_bytes", DATABASES)
    control_memory = view + text + groups + source

    probe_rate = PROBES_PER_DATABASE * held / PROBE_INTERVAL_S
    probe_bytes = each("probe_wire_bytes") * probe_rate
    news_per_s = RESTARTS_PER_DAY * STATES_PER_RESTART * TIMES_PASSED_ON / DAY_S
    heartbeat_bytes = HEARTBEAT_FRAMES_PER_S * at("heartbeat_wire_bytes", 1)
    heartbeat_bytes += each("heartbeat_wire_bytes") * news_per_s
    storm_bytes = HEARTBEAT_FRAMES_PER_S * at("heartbeat_wire_bytes", UPDATES_PER_HEARTBEAT)
    text_bytes = at("text_packed_bytes", DATABASES) * CHANGES_PER_DAY / DAY_S
    list_bytes = LISTED_VM_BYTES * NODES / LIST_INTERVAL_S
    control_bytes = probe_bytes + heartbeat_bytes + text_bytes + list_bytes
    storm_total = control_bytes - heartbeat_bytes + storm_bytes
    header_bytes = HEADER_BYTES * (
        PACKETS_PER_PROBE * probe_rate + PACKETS_PER_HEARTBEAT * HEARTBEAT_FRAMES_PER_S
    )

    reads = NODES / LIST_INTERVAL_S + 2 * NODES / SECRETS_INTERVAL_S
    reads += MEMBERS / SPANS_INTERVAL_S + DOMAINS * WATCHERS_PER_DOMAIN
    restart = NODES * (2 + 2) + MEMBERS

    return [
        Line(
            "sessions on a node",
            f"{CLIENT_CONNECTIONS:,} / {NODES:,} = {sessions:,.0f}",
            "`idle_session_bytes`",
            f"{session_bytes / 1e6:.0f} MB with the process",
            "holds",
        ),
        Line(
            "statements on a node",
            f"{STATEMENTS_PER_S:,} / {NODES:,} = {statements:.0f}/s",
            "`forwarded_statement_us`: almost all are forwarded, entry and holder counted together",
            f"{statement_core:.0%} of a core",
            _verdict(statement_core, 1.0),
        ),
        Line(
            "processor time for control",
            f"{CONTROL_CORE_SHARE:.1%} of a core",
            f"supervision {supervision_us:,.0f} + ticks {ticks_us:,.0f} + membership"
            f" {membership_us:,.0f} + frames {frames_us:,.0f} + text {text_us:,.0f} us/s",
            f"{control_core:.1%}",
            _verdict(control_core, CONTROL_CORE_SHARE),
        ),
        Line(
            "memory for control",
            f"{CONTROL_BYTES / 1e6:.0f} MB",
            f"view {view / 1e6:.2f} + typed text {text / 1e6:.2f} + source {source / 1e6:.2f}"
            f" + pools and groups {groups / 1e6:.2f} MB",
            f"{control_memory / 1e6:.1f} MB",
            _verdict(control_memory, CONTROL_BYTES),
        ),
        Line(
            "memory of the interpreter and the program",
            "apart from control's share",
            "`control_process_bytes`, fixed part",
            f"{slopes['control_process_bytes']['fixed'] / 1e6:.0f} MB",
            "over 32 MB by itself: the budget holds only without it",
        ),
        Line(
            "bytes for control",
            f"{CONTROL_BYTES_PER_S / 1000:.0f} KB/s",
            f"probes {probe_bytes:,.0f} + heartbeats {heartbeat_bytes:,.0f} + text"
            f" {text_bytes:,.0f} + list {list_bytes:,.0f} B/s",
            f"{control_bytes / 1000:.1f} KB/s",
            _verdict(control_bytes, CONTROL_BYTES_PER_S),
        ),
        Line(
            "the same while every heartbeat is full",
            f"{CONTROL_BYTES_PER_S / 1000:.0f} KB/s",
            f"heartbeats of 8 updates {storm_bytes:,.0f} B/s, as after the loss of a domain",
            f"{storm_total / 1000:.1f} KB/s",
            _verdict(storm_total, CONTROL_BYTES_PER_S),
        ),
        Line(
            "the same with TCP and IP headers",
            f"{CONTROL_BYTES_PER_S / 1000:.0f} KB/s",
            f"payload as above + {header_bytes:,.0f} B/s of headers",
            f"{(control_bytes + header_bytes) / 1000:.1f} KB/s",
            _verdict(control_bytes + header_bytes, CONTROL_BYTES_PER_S),
        ),
        Line(
            "text as one value",
            "1 MB",
            "`text_bytes`; stored compressed above 256 KB: `text_packed_bytes` x 4/3",
            f"{source / 1e6:.2f} MB plain,"
            f" {at('text_packed_bytes', DATABASES) * 4 / 3 / 1e6:.2f} MB stored",
            "holds",
        ),
        Line(
            "platform reads at rest",
            f"{PLATFORM_READS_PER_S:,}/s",
            "list 60 s + secrets 2 x 30 s + spans 60 s a member + 12 waiting watches",
            f"{reads:.0f}/s",
            _verdict(reads, PLATFORM_READS_PER_S),
        ),
        Line(
            "platform reads after an outage in which everything restarted",
            f"{PLATFORM_READS_PER_S:,}/s",
            "text, list, two secrets a node and spans a member, with delays of up to 16 s",
            f"{restart:,} calls over 16 s = {restart / 16:,.0f}/s",
            _verdict(restart / 16, PLATFORM_READS_PER_S),
        ),
    ]


def _verdict(figure: float, limit: float) -> str:
    return f"holds ({figure / limit:.0%} used)" if figure <= limit else "does not hold"
