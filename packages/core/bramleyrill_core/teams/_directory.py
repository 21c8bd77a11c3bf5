"""Lookup of the team that a caller's key belongs to."""

from collections.abc import Iterable

from attrs import field, frozen

from bramleyrill_core.teams._model import Team


@frozen
class TeamDirectory:
    """The teams of one version of the configuration, by name and by the digest of each key.

    `enabled` is False where the configuration names no teams: callers then need no key. A digest
    that several teams list belongs to none of them, since a caller with that key could be either.

    Example:

        directory = TeamDirectory.of([(Team("harbour"), [key_digest("k1")])])
        directory.team_of(key_digest("k1"))
    """

    enabled: bool = False
    teams_by_name: dict[str, Team] = field(factory=dict, repr=False)
    _names_by_digest: dict[str, str] = field(factory=dict, repr=False)

    @classmethod
    def of(cls, teams: Iterable[tuple[Team, Iterable[str]]]) -> "TeamDirectory":
        """Return the directory of teams with the digests of their keys."""
        teams_by_name: dict[str, Team] = {}
        names_by_digest: dict[str, str] = {}
        ambiguous: set[str] = set()
        for team, digests in teams:
            teams_by_name[team.name] = team
            for digest in digests:
                if names_by_digest.setdefault(digest, team.name) != team.name:
                    ambiguous.add(digest)
        for digest in ambiguous:
            del names_by_digest[digest]
        return cls(True, teams_by_name, names_by_digest)

    def team_of(self, digest: str | None) -> Team | None:
        """Return the team that a key belongs to, or None if the key is missing or unknown."""
        name = self._names_by_digest.get(digest) if digest else None
        return self.teams_by_name.get(name) if name is not None else None

    def has_keys(self, team: str) -> bool:
        """Return whether any caller can identify as a team."""
        return team in self._names_by_digest.values()


NO_TEAMS = TeamDirectory()
