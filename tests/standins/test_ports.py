"""Ports and processes of the stand-ins when another suite runs on the same machine."""

import pathlib
import unittest
from unittest import mock

from bramleyrill_standins.prepared import DeploymentError, PreparedDeployment
from bramleyrill_standins.prepared import _deployment as deployment_module
from bramleyrill_standins.processes import free_ports

EPHEMERAL = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class PortTest(unittest.TestCase):
    def test_ports_are_not_those_of_outgoing_connections(self):
        """Such a port was taken by another process before the VM that it was for listened."""
        first, last = map(int, EPHEMERAL.read_text().split())
        ports = free_ports(40)
        self.assertEqual(len(set(ports)), 40)
        self.assertEqual([port for port in ports if first <= port <= last], [])


class FailedStartTest(unittest.TestCase):
    def test_deployment_that_does_not_start_ends_what_it_started(self):
        """One that failed left an entry process behind, which ran until it was found."""
        taken = free_ports(8)
        # The second VM's ready address is the caller address of the first.
        taken[6] = taken[2]
        deployment = PreparedDeployment(2)
        patch = mock.patch.object(deployment_module, "free_ports", return_value=taken)
        with patch, self.assertRaises(DeploymentError):
            deployment.__enter__()
        self.assertEqual([vm.running for vm in deployment.vms], [False, False])
