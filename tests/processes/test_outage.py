"""Tests of a VM that starts during a platform outage, followed by a failure of the primary."""

from bramleyrill_standins.processes import Proxy, VmLocation

from tests.processes.test_faults import FaultCase


class BootInOutageTest(FaultCase):
    """Guards against a new VM that cannot serve before the platform is available."""

    def test_booted_vm_takes_over_and_the_primary_is_replaced_without_the_platform(self):
        self.deployment.platform.switch(outage="refuse")
        replaced, *others = self.deployment.proxies
        seeds = [proxy.peer_port for proxy in others]
        location = VmLocation("vm-9", replaced.location.domain, replaced.location.region)
        booted = Proxy(location, self.deployment.platform.url, seeds)
        self.addCleanup(booted.stop)
        booted.start()
        booted.wait_until_listening()
        self.assertEqual(replaced.process.stop(), 0)
        self.wait_until_served()
        self.group.processes[self.group.primary()].kill()
        self.wait_until_served()
        self.assertTrue(booted.log_lines("object_from_peer"))
        self.assertFalse(booted.log_lines("holder_evicted"))
        self.check_history()
