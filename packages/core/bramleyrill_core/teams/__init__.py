"""Teams: which of them a caller's key belongs to, and their limits and weights."""

from bramleyrill_core.teams._directory import NO_TEAMS, TeamDirectory
from bramleyrill_core.teams._model import Team, key_digest

__all__ = ["NO_TEAMS", "Team", "TeamDirectory", "key_digest"]
