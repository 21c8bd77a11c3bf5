"""Slopes of the text: size, check and memory by number of databases."""

import zlib

from bramleyrill_core.text import example_source, parse_text

from bramleyrill_cli.slopes._measure import Point, measure_memory, measure_time, slopes_by_name

SIZES = (1, 300, 600, 1200, 1800)


def text_of(databases: int) -> str:
    """Return a valid text with the given number of databases of three members each."""
    source = example_source()
    head = source[: source.index("        databases:")]
    lines = [head + "        databases:"]
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
    """Measure the size of the text."""
    return "B", "database", [Point(n, len(text_of(n).encode())) for n in SIZES]


@slopes_by_name.register("text_packed_bytes")
def text_packed_bytes() -> tuple[str, str, list[Point]]:
    """Measure the compressed size, which is what peers send each other."""
    return "B", "database", [Point(n, len(zlib.compress(text_of(n).encode()))) for n in SIZES]


@slopes_by_name.register("text_check_us")
def text_check_us() -> tuple[str, str, list[Point]]:
    """Measure the processor time of parsing and checking the text."""
    points = []
    for size in SIZES:
        source = text_of(size)
        points.append(Point(size, measure_time(lambda source=source: parse_text(source))))
    return "us", "database", points


@slopes_by_name.register("text_held_bytes")
def text_held_bytes() -> tuple[str, str, list[Point]]:
    """Measure the memory of the typed text in force."""
    points = []
    for size in SIZES:
        source = text_of(size)
        points.append(Point(size, measure_memory(lambda source=source: parse_text(source))))
    return "B", "database", points
