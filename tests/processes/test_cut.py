"""Tests of a primary that is cut off from the network, or stops answering on old connections."""

from bramleyrill_standins.processes import wait_until

from tests.processes.test_faults import DATABASE, SERVED_LIMIT_S, FaultCase


class CutPrimaryTest(FaultCase):
    """Guards against writes acknowledged by a cut-off primary after it has a successor."""

    def test_primary_cut_off_from_all_is_replaced_and_follows_when_the_cut_heals(self):
        primary = self.group.primary()
        self.group.switch(primary, cut=["*"])
        self.wait_for_other_primary(primary)
        self.wait_until_served()
        self.group.switch(primary, cut=[])
        wait_until(
            lambda: self.group.state(primary)["status"]["role"] == "replica",
            "the cut member follows",
            SERVED_LIMIT_S,
        )
        self.wait_until_served()
        self.check_history()

    def test_silent_connections_are_replaced_while_new_ones_work(self):
        primary = self.group.primary()
        self.group.switch(primary, silence="existing")
        self.wait_until_served()
        self.check_history()
        self.assertIn(primary, self.deployment.groups[DATABASE].names)
