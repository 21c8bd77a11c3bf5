"""Slopes of the configuration text by number of databases: size, CPU time to check, memory."""

import zlib

from bramleyrill_core.text import example_source, parse_text

from bramleyrill_cli.slopes._measure import Point, measure_memory, measure_time, slopes_by_name

DATABASE_COUNTS = (1, 300, 600, 1200, 1800)


def make_text(databases: int) -> str:
    """Return a valid configuration text with `databases` databases of three members each."""
    source = example_source()
    header = source[: source.index("        databases:")]
    lines = [header + "        databases:"]
    port = 0
    for number in range(databases):
        lines.append(f"          db{number}:\n            members:")
        for domain in ("marmara-a", "ege-a", "ic-anadolu-a"):
            address = f"10.{port >> 16 & 255}.{port >> 8 & 255}.{port & 255}:5432"
            member = f"db{number}-{domain}"
            lines.append(f'              {member}: {{domain: {domain}, address: "{address}"}}')
            port += 1
    return "\n".join(lines) + "\n"


@slopes_by_name.register("text_bytes")
def text_bytes() -> tuple[str, str, list[Point]]:
    """Measure the size of the YAML source."""
    return "B", "database", [Point(n, len(make_text(n).encode())) for n in DATABASE_COUNTS]


@slopes_by_name.register("text_packed_bytes")
def text_packed_bytes() -> tuple[str, str, list[Point]]:
    """Measure the compressed size of the source, as sent between peers."""
    return (
        "B",
        "database",
        [Point(n, len(zlib.compress(make_text(n).encode()))) for n in DATABASE_COUNTS],
    )


@slopes_by_name.register("text_check_us")
def text_check_us() -> tuple[str, str, list[Point]]:
    """Measure the CPU time needed to parse and check the text."""
    points = []
    for size in DATABASE_COUNTS:
        source = make_text(size)
        points.append(Point(size, measure_time(lambda source=source: parse_text(source))))
    return "us", "database", points


@slopes_by_name.register("text_held_bytes")
def text_held_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory used by the parsed text."""
    points = []
    for size in DATABASE_COUNTS:
        source = make_text(size)
        points.append(Point(size, measure_memory(lambda source=source: parse_text(source))))
    return "B", "database", points
