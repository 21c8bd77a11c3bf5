"""Policies: which idle connection is closed for another team, and which team may dial.

The load this answers: more teams than a member accepts connections, a few of them large. Each
connection that is closed too early costs its team a dial, and the member the time of a slot.
"""

from collections import Counter
from datetime import timedelta
from typing import Protocol

from attrs import frozen
from bramleyrill_base import Registry

from bramleyrill_core.connections._demand import DemandTable
from bramleyrill_core.connections._values import PooledConnection

# Largest part of a member's connections that one team may hold under the policy with a cap.
TEAM_CAP_SHARE = 0.2


@frozen
class PoolView:
    """What a policy sees of a pool: connections by team, open or being dialed, and the demand."""

    held_by_team: Counter[str]
    demand: DemandTable
    limit: int
    now: timedelta


class ConnectionPolicy(Protocol):
    """Decides about the connections of a pool that has reached its limit."""

    def may_dial(self, team: str, view: PoolView) -> bool:
        """Return whether the team may hold one connection more."""

    def choose_victim(self, idle: list[PooledConnection], view: PoolView) -> PooledConnection:
        """Return the idle connection to close, of at least one."""


connection_policies: Registry[ConnectionPolicy] = Registry("connection policy")


def _register(name: str):
    """Return a class decorator that registers an instance under `name`."""

    def decorate(policy_class: type) -> type:
        connection_policies.register(name)(policy_class())
        return policy_class

    return decorate


@_register("least_recently_used")
class LeastRecentlyUsed:
    """Close the connection that was idle for longest."""

    def may_dial(self, team: str, view: PoolView) -> bool:
        """Return True: a team is limited by the demand of the others only."""
        return True

    def choose_victim(self, idle: list[PooledConnection], view: PoolView) -> PooledConnection:
        """Return the connection that was idle for longest."""
        return min(idle, key=lambda connection: connection.since)


@_register("expected_reuse")
class ExpectedReuse(LeastRecentlyUsed):
    """Close the connection that is expected to be needed least often.

    All dials of a member cost the same, so the rate of uses that a connection saves is its worth.
    A team's second connection is worth less than its first: it is needed only while that is busy.
    """

    def choose_victim(self, idle: list[PooledConnection], view: PoolView) -> PooledConnection:
        """Return the connection with the lowest rate of uses; among equals the longest idle."""
        rate_by_team = {
            team: view.demand.of(team).use_rate_per_s(view.held_by_team[team], view.now)
            for team in {connection.team for connection in idle}
        }
        return min(idle, key=lambda connection: (rate_by_team[connection.team], connection.since))


@_register("team_floor")
class TeamFloor(LeastRecentlyUsed):
    """Close the last connection of a team only if no team has an idle one beyond its first."""

    def choose_victim(self, idle: list[PooledConnection], view: PoolView) -> PooledConnection:
        """Return the longest idle connection of the teams that hold more than one."""
        surplus = [connection for connection in idle if view.held_by_team[connection.team] > 1]
        return super().choose_victim(surplus or idle, view)


@_register("team_cap")
class TeamCap(LeastRecentlyUsed):
    """Limit each team to a part of the connections; close the one that was idle for longest."""

    def may_dial(self, team: str, view: PoolView) -> bool:
        """Return whether the team holds less than its part."""
        return view.held_by_team[team] < max(int(view.limit * TEAM_CAP_SHARE), 1)


DEFAULT_POLICY = "expected_reuse"
