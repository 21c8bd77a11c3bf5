"""Tests of entry VMs of the prepared platform as real processes, with injected faults."""

import signal
import time
import unittest

import gevent
from bramleyrill_standins.prepared import LineCaller, PreparedDeployment

# Far longer than any step takes, so that the result is the same on a busy machine.
LIMIT_S = 40.0


class PreparedCase(unittest.TestCase):
    vms = 2
    fenced_orders = True

    def setUp(self):
        deployment = PreparedDeployment(self.vms, fenced_orders=self.fenced_orders)
        self.deployment = self.enterContext(deployment)
        self.group = self.deployment.group

    def caller(self, vm=0):
        caller = LineCaller(self.deployment.vms[vm].caller_address)
        self.addCleanup(caller.close)
        return caller

    def ask_until_served(self, caller, text):
        end = time.monotonic() + LIMIT_S
        while time.monotonic() < end:
            answer = caller.ask(text)
            if answer[0].startswith(("COMPLETE", "ROW")):
                return answer
            gevent.sleep(0.05)
        raise AssertionError(f"not served in {LIMIT_S} s: {answer}")

    def check_replacement(self):
        """Stop the primary; both VMs then serve writes and reads at another member."""
        caller = self.caller()
        caller.ask("WRITE bowl gold")
        gevent.sleep(0.05)
        lost = self.group.primary.name
        self.deployment.stop_member(lost)
        self.ask_until_served(caller, "WRITE bowl lacquer")
        self.assertNotEqual(self.group.primary.name, lost)
        for vm in range(self.vms):
            self.assertEqual(self.caller(vm).ask("READ bowl")[0], "ROW lacquer")

    def wait_for(self, condition):
        end = time.monotonic() + LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), end)
            gevent.sleep(0.05)


class PathTest(PreparedCase):
    def test_write_is_read_through_another_vm(self):
        self.assertTrue(self.caller().ask("WRITE bowl gold")[0].startswith("COMPLETE s"))
        self.assertEqual(self.caller(1).ask("READ bowl")[0], "ROW gold")

    def test_primary_that_ended_is_replaced(self):
        """The primary is replaced only by a command of this system."""
        self.check_replacement()

    def test_configuration_reaches_every_vm(self):
        callers = [self.caller(vm) for vm in range(self.vms)]
        self.deployment.put_configuration(2, "other-db")
        for vm in range(self.vms):
            address = self.deployment.vms[vm].caller_address
            self.wait_for(lambda address=address: self.opens(address, "other-db"))
        self.assertTrue(callers[0].ask("READ bowl")[0].startswith("COMPLETE"))

    def opens(self, address, database):
        caller = LineCaller(address, database)
        caller.close()
        return caller.opening_answer.startswith("READY")


class PermitTest(PreparedCase):
    fenced_orders = False

    def test_primary_that_ended_is_replaced(self):
        """The permits of both VMs must follow the change, also without any other traffic."""
        self.check_replacement()

    def test_store_that_is_away_does_not_stop_writes(self):
        """The replicas carry the permits while the store cannot be asked."""
        caller = self.caller()
        caller.ask("WRITE bowl gold")
        self.deployment.platform.unavailable = True
        gevent.sleep(1.5)
        self.ask_until_served(caller, "WRITE bowl lacquer")
        self.assertEqual(self.caller(1).ask("READ bowl")[0], "ROW lacquer")


class FaultTest(PreparedCase):
    def test_killed_vm_does_not_stop_the_others(self):
        """Any of the VMs may be the holder of the primary."""
        caller = self.caller(1)
        caller.ask("WRITE bowl gold")
        self.deployment.vms[0].kill()
        self.ask_until_served(caller, "WRITE bowl lacquer")
        self.deployment.vms[0].start()
        self.assertEqual(self.caller(0).ask("READ bowl")[0], "ROW lacquer")

    def test_paused_vm_does_not_stop_the_others(self):
        paused, caller = self.deployment.vms[0], self.caller(1)
        caller.ask("WRITE bowl gold")
        paused.send_signal(signal.SIGSTOP)
        self.addCleanup(paused.send_signal, signal.SIGCONT)
        self.ask_until_served(caller, "WRITE bowl lacquer")

    def test_planned_stop_cuts_no_request(self):
        caller = self.caller(0)
        for member in self.group.members_by_name.values():
            member.statement_time = 5 * member.statement_time
        stop = gevent.spawn(self.deployment.vms[0].stop)
        answers = []
        while not stop.ready():
            number = f"q{len(answers)}"
            try:
                answer = caller.ask(f"WRITE bowl {len(answers)}", number)
            except OSError as error:
                ran = len(self.group.runs_of(number))
                log = self.deployment.vms[0].log()
                self.fail(f"{error!r} instead of an answer to {number}, runs: {ran}\n{log}")
            if not answer[-1]:
                break
            answers.append(answer)
            gevent.sleep(0.01)
        self.assertEqual(stop.get(), 0)
        self.assertFalse(self.deployment.vms[0].is_ready())
        self.assertTrue(all(answer[0].startswith("COMPLETE s") for answer in answers), answers)
        self.assertEqual(len(self.group.primary.log), len(answers))

    def test_store_that_is_away_does_not_stop_service(self):
        caller = self.caller()
        caller.ask("WRITE bowl gold")
        self.deployment.platform.unavailable = True
        gevent.sleep(0.5)
        self.assertEqual(caller.ask("READ bowl")[0], "ROW gold")

    def test_vm_that_starts_while_the_store_is_away_learns_from_its_peers(self):
        self.deployment.vms[0].kill()
        self.deployment.platform.unavailable = True
        # `start` waits until the VM is ready, which means that it knows configuration and members.
        self.deployment.vms[0].start()
        self.assertTrue(self.caller(0).ask("READ bowl")[0].startswith("COMPLETE"))
