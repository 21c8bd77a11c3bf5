"""Tables of the capacity page: measured slopes, and the resources needed at the target size."""

from typing import Any

from attrs import frozen

# Size and load of the target installation, and its budgets for control, as the users require.
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

# Probe interval planned for the target, and the current one of 250 ms, used in the measurement.
PROBE_INTERVAL_S = 0.5
PROBE_INTERVAL_MEASURED_S = 0.25
# The primary's holder probes three members; each of the two others probes the primary and its own
# member.
PROBES_PER_DATABASE = 7
# In the measurement, one VM holds all three members and probes each of them once.
PROBES_PER_DATABASE_MEASURED = 3
# Each second, one ping is sent and one received, each with its response.
HEARTBEAT_FRAMES_PER_S = 4
UPDATES_PER_HEARTBEAT = 8
# A restart goes through leaving, left, joining and alive; each VM sends each state about 33 times.
STATES_PER_RESTART = 4
SENDS_PER_STATE = 33
# IPv4 and TCP headers with timestamps. A probe takes a packet in each direction and a third for
# the TCP acknowledgment.
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
class TargetRow:
    """A row of the target table."""

    quantity: str
    target: str
    formula: str
    result: str
    verdict: str


def fill_page(page: str, document: dict[str, Any]) -> str:
    """Return the page with both tables updated between their HTML comment markers."""
    tables = {"target table": target_table(document), "slope table": slope_table(document)}
    for name, table in tables.items():
        start, end = f"<!-- {name} -->\n", "\n<!-- end -->"
        head, _, rest = page.partition(start)
        _, _, tail = rest.partition(end.lstrip())
        page = f"{head}{start}{table}{end}{tail}"
    return page


def slope_table(document: dict[str, Any]) -> str:
    """Return the table of measured slopes as Markdown."""
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
    """Return the table of requirements at the target size as Markdown."""
    rows = ["| line | target | worked out | figure | verdict |", "|---|---|---|---|---|"]
    for row in compute_target_rows(document):
        rows.append(
            f"| {row.quantity} | {row.target} | {row.formula} | {row.result} | {row.verdict} |"
        )
    return "\n".join(rows)


def compute_target_rows(document: dict[str, Any]) -> list[TargetRow]:
    """Return the rows of the target table, computed from the measured slopes."""
    slopes = document["slopes"]

    def cost_at(name: str, size: float) -> float:
        return slopes[name]["fixed"] + slopes[name]["per_unit"] * size

    def cost_per_unit(name: str) -> float:
        return slopes[name]["per_unit"]

    sessions_per_node = CLIENT_CONNECTIONS / NODES
    statements_per_node = STATEMENTS_PER_S / NODES
    databases_per_node = DATABASES / NODES
    session_bytes = cost_at("idle_session_bytes", sessions_per_node)
    statement_core = cost_at("forwarded_statement_us", statements_per_node) / 1e6

    probe_factor = PROBES_PER_DATABASE / PROBES_PER_DATABASE_MEASURED
    probe_factor *= PROBE_INTERVAL_MEASURED_S / PROBE_INTERVAL_S
    supervision_us = cost_per_unit("control_process_us") * databases_per_node * probe_factor
    tick_us = slopes["control_process_us"]["fixed"]
    membership_us = cost_at("membership_tick_us", NODES)
    frames_us = HEARTBEAT_FRAMES_PER_S * (
        cost_per_unit("heartbeat_codec_us") + cost_at("heartbeat_us", NODES)
    )
    text_us = cost_at("text_check_us", DATABASES) * CHANGES_PER_DAY / DAY_S
    control_core = (supervision_us + tick_us + membership_us + frames_us + text_us) / 1e6

    view_bytes = cost_at("membership_bytes", NODES)
    typed_text_bytes = cost_at("text_held_bytes", DATABASES)
    group_bytes = cost_per_unit("control_process_bytes") * databases_per_node * 3
    source_bytes = cost_at("text_bytes", DATABASES)
    control_memory = view_bytes + typed_text_bytes + group_bytes + source_bytes

    probe_rate = PROBES_PER_DATABASE * databases_per_node / PROBE_INTERVAL_S
    probe_bytes = cost_per_unit("probe_wire_bytes") * probe_rate
    state_sends_per_s = RESTARTS_PER_DAY * STATES_PER_RESTART * SENDS_PER_STATE / DAY_S
    heartbeat_bytes = HEARTBEAT_FRAMES_PER_S * cost_at("heartbeat_wire_bytes", 1)
    heartbeat_bytes += cost_per_unit("heartbeat_wire_bytes") * state_sends_per_s
    full_heartbeat_bytes = HEARTBEAT_FRAMES_PER_S * cost_at(
        "heartbeat_wire_bytes", UPDATES_PER_HEARTBEAT
    )
    text_transfer_bytes = cost_at("text_packed_bytes", DATABASES) * CHANGES_PER_DAY / DAY_S
    list_bytes = LISTED_VM_BYTES * NODES / LIST_INTERVAL_S
    control_bytes = probe_bytes + heartbeat_bytes + text_transfer_bytes + list_bytes
    full_heartbeat_total = control_bytes - heartbeat_bytes + full_heartbeat_bytes
    header_bytes = HEADER_BYTES * (
        PACKETS_PER_PROBE * probe_rate + PACKETS_PER_HEARTBEAT * HEARTBEAT_FRAMES_PER_S
    )

    reads = NODES / LIST_INTERVAL_S + 2 * NODES / SECRETS_INTERVAL_S
    reads += MEMBERS / SPANS_INTERVAL_S + DOMAINS * WATCHERS_PER_DOMAIN
    restart_reads = NODES * (2 + 2) + MEMBERS

    return [
        TargetRow(
            "sessions on a node",
            f"{CLIENT_CONNECTIONS:,} / {NODES:,} = {sessions_per_node:,.0f}",
            "`idle_session_bytes`",
            f"{session_bytes / 1e6:.0f} MB with the process",
            "holds",
        ),
        TargetRow(
            "statements on a node",
            f"{STATEMENTS_PER_S:,} / {NODES:,} = {statements_per_node:.0f}/s",
            "`forwarded_statement_us`: almost all are forwarded, entry and holder counted together",
            f"{statement_core:.0%} of a core",
            _verdict(statement_core, 1.0),
        ),
        TargetRow(
            "processor time for control",
            f"{CONTROL_CORE_SHARE:.1%} of a core",
            f"supervision {supervision_us:,.0f} + ticks {tick_us:,.0f} + membership"
            f" {membership_us:,.0f} + frames {frames_us:,.0f} + text {text_us:,.0f} us/s",
            f"{control_core:.1%}",
            _verdict(control_core, CONTROL_CORE_SHARE),
        ),
        TargetRow(
            "memory for control",
            f"{CONTROL_BYTES / 1e6:.0f} MB",
            f"view {view_bytes / 1e6:.2f} + typed text {typed_text_bytes / 1e6:.2f}"
            f" + source {source_bytes / 1e6:.2f}"
            f" + pools and groups {group_bytes / 1e6:.2f} MB",
            f"{control_memory / 1e6:.1f} MB",
            _verdict(control_memory, CONTROL_BYTES),
        ),
        TargetRow(
            "memory of the interpreter and the program",
            "apart from control's share",
            "`control_process_bytes`, fixed part",
            f"{slopes['control_process_bytes']['fixed'] / 1e6:.0f} MB",
            "over 32 MB by itself: the budget holds only without it",
        ),
        TargetRow(
            "bytes for control",
            f"{CONTROL_BYTES_PER_S / 1000:.0f} KB/s",
            f"probes {probe_bytes:,.0f} + heartbeats {heartbeat_bytes:,.0f} + text"
            f" {text_transfer_bytes:,.0f} + list {list_bytes:,.0f} B/s",
            f"{control_bytes / 1000:.1f} KB/s",
            _verdict(control_bytes, CONTROL_BYTES_PER_S),
        ),
        TargetRow(
            "the same while every heartbeat is full",
            f"{CONTROL_BYTES_PER_S / 1000:.0f} KB/s",
            f"heartbeats of 8 updates {full_heartbeat_bytes:,.0f} B/s,"
            " as after the loss of a domain",
            f"{full_heartbeat_total / 1000:.1f} KB/s",
            _verdict(full_heartbeat_total, CONTROL_BYTES_PER_S),
        ),
        TargetRow(
            "the same with TCP and IP headers",
            f"{CONTROL_BYTES_PER_S / 1000:.0f} KB/s",
            f"payload as above + {header_bytes:,.0f} B/s of headers",
            f"{(control_bytes + header_bytes) / 1000:.1f} KB/s",
            _verdict(control_bytes + header_bytes, CONTROL_BYTES_PER_S),
        ),
        TargetRow(
            "text as one value",
            "1 MB",
            "`text_bytes`; stored compressed above 256 KB: `text_packed_bytes` x 4/3",
            f"{source_bytes / 1e6:.2f} MB plain,"
            f" {cost_at('text_packed_bytes', DATABASES) * 4 / 3 / 1e6:.2f} MB stored",
            "holds",
        ),
        TargetRow(
            "platform reads at rest",
            f"{PLATFORM_READS_PER_S:,}/s",
            "list 60 s + secrets 2 x 30 s + spans 60 s a member + 12 waiting watches",
            f"{reads:.0f}/s",
            _verdict(reads, PLATFORM_READS_PER_S),
        ),
        TargetRow(
            "platform reads after an outage in which everything restarted",
            f"{PLATFORM_READS_PER_S:,}/s",
            "text, list, two secrets a node and spans a member, with delays of up to 16 s",
            f"{restart_reads:,} calls over 16 s = {restart_reads / 16:,.0f}/s",
            _verdict(restart_reads / 16, PLATFORM_READS_PER_S),
        ),
    ]


def _verdict(result: float, limit: float) -> str:
    return f"holds ({result / limit:.0%} used)" if result <= limit else "does not hold"
