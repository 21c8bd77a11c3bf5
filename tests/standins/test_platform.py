"""Tests of the platform stand-in: the object API, with and without injected faults."""

import threading
import unittest

import urllib3
from bramleyrill_standins.processes import Platform, wait_until


class PlatformTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = Platform()
        cls.addClassCleanup(cls.platform.stop)

    def setUp(self):
        self.name = self.id().rpartition(".")[2]

    def put(self, expected, value, kind="test"):
        body = {"version": expected, "value": value}
        return self.platform.call("PUT", f"objects/{kind}/{self.name}", body)

    def test_stale_version_is_refused_with_the_current_object(self):
        status, answer = self.put(0, "first")
        self.assertEqual(status, 200)
        first = answer["version"]
        self.assertEqual(self.put(0, "again"), (409, {"version": first, "value": "first"}))
        self.assertEqual(self.put(first, "second")[0], 200)
        self.assertEqual(self.put(first, "third")[0], 409)
        self.assertEqual(self.platform.get("test", self.name)["value"], "second")

    def test_missing_object_is_404(self):
        self.assertEqual(self.platform.call("GET", "objects/test/missing")[0], 404)
        self.assertEqual(self.put(7, "x"), (409, {}))

    def test_quoted_slashes_belong_to_the_name(self):
        body = {"version": 0, "value": 1}
        self.platform.call("PUT", "objects/succession/kintsugi%2Fs%2Fd", body)
        self.assertIn("succession/kintsugi/s/d", self.platform.state()["objects"])

    def test_value_over_one_megabyte_is_refused(self):
        self.assertEqual(self.put(0, "x" * 999_000)[0], 200)
        self.assertEqual(self.put(0, "x" * 1_000_001)[0], 413)

    def test_watch_ends_with_a_write_of_its_kind_only(self):
        version = self.platform.state()["version"]
        answers = []
        path = f"watch/watched?after={version}&timeout=4"
        watching = threading.Thread(target=lambda: answers.append(self.platform.call("GET", path)))
        watching.start()
        wait_until(lambda: "get/watch/watched" in self.platform.state()["calls"], "the watch")
        self.put(0, "other")
        self.put(0, "mine", kind="watched")
        watching.join()
        status, answer = answers[0]
        self.assertEqual([item["value"] for item in answer["objects"]], ["mine"])
        self.assertEqual(status, 200)
        after = answer["version"]
        empty = self.platform.call("GET", f"watch/watched?after={after}&timeout=0")
        self.assertEqual(empty[1]["objects"], [])

    def test_lost_answer_takes_effect(self):
        self.platform.switch(lose_answers=1)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.put(0, "kept")
        self.assertEqual(self.platform.get("test", self.name)["value"], "kept")
        self.assertEqual(self.platform.state()["switches"]["lose_answers"], 0)

    def test_outage_refuses_every_call_and_ends(self):
        self.platform.switch(outage="refuse")
        self.addCleanup(self.platform.switch, outage="off")
        self.assertEqual(self.platform.call("GET", "vms")[0], 503)
        self.assertEqual(self.put(0, "x")[0], 503)
        self.platform.switch(outage="off")
        self.assertEqual(self.put(0, "x")[0], 200)

    def test_vm_list_lags(self):
        vm = {"domain": "ege-a", "region": "ege", "host": "127.0.0.1", "port": 1, "state": "live"}
        self.platform.admin.post("vms", vms={"vm-1": vm}, lag=0)
        self.assertEqual(self.platform.call("GET", "vms")[1], [{"id": "vm-1", **vm}])
        self.platform.admin.post("vms", vms={"vm-1": {"state": "leaving"}}, lag=3600)
        self.assertEqual(self.platform.call("GET", "vms")[1][0]["state"], "live")
        self.platform.admin.post("vms", lag=0)
        self.assertEqual(self.platform.call("GET", "vms")[1][0]["state"], "leaving")
