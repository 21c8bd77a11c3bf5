"""What a process loads when it starts; on a small share of a core each import delays callers."""

import subprocess
import sys
import unittest

# Libraries and parts of the product that only other programs, or a later moment, need.
NOT_AT_START = (
    "bramleyrill_core._world",
    "bramleyrill_core.admission._simulation",
    "bramleyrill_core.membership",
    "bramleyrill_core.text",
    "cyclopts",
    "prometheus_client",
    "returns",
    "sqlglot",
    "sqlparse",
    "statsd",
    "urllib3",
    "yaml",
)
SCRIPT = """
import sys
from gevent import monkey
monkey.patch_socket(dns=False)
import bramleyrill_entry._process
print(*sys.modules)
"""


class StartTest(unittest.TestCase):
    def test_start_imports_only_what_serves_callers(self):
        output = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        loaded = set(output.stdout.split())
        self.assertIn("bramleyrill_entry._process", loaded)
        self.assertEqual(loaded.intersection(NOT_AT_START), set())
