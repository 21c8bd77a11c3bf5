"""Logins of upstream members: address from the text, credentials from the platform."""

import ssl
from typing import Any

from absl import logging
from attrs import field, frozen
from bramleyrill_base import log_event
from bramleyrill_core import MemberId, World, database_of, fleet_of, service_of

from bramleyrill_daemon._upstream import UpstreamLogin


@frozen
class Account:
    """User and password of the proxy at all members of a service."""

    user: str
    password: str = field(repr=False)


class Credentials:
    """Accounts by `fleet/service`; `*` is the account of services without an entry.

    The platform object `secrets/upstreams` has the form
    `{"kintsugi/onarim-defteri": {"user": "proxy", "password": "..."}}`.
    """

    def __init__(self, world: World, authority: str = "") -> None:
        self.by_service: dict[str, Account] = {}
        self._world = world
        self._authority = authority
        self._tls: ssl.SSLContext | None = None

    def replace(self, value: Any) -> None:
        """Replace all accounts with those of the platform object; log and skip a malformed one."""
        try:
            self.by_service = {
                str(service): Account(str(entry["user"]), str(entry["password"]))
                for service, entry in value.items()
            }
        except (KeyError, TypeError, AttributeError):
            log_event("secrets_malformed", level=logging.ERROR, name="upstreams")

    def login(self, member: MemberId) -> UpstreamLogin:
        """Return the login of a member; raise KeyError if the text or the credentials lack it."""
        database = self._world.text.database_of(member)
        member_spec = next(item for item in database.members if item.id == member)
        service = self._world.text.service_of(database_of(member))
        name = f"{fleet_of(member)}/{service_of(member)}"
        account = self.by_service.get(name) or self.by_service["*"]
        return UpstreamLogin(
            host=member_spec.host,
            port=member_spec.port,
            database=database.name,
            user=account.user,
            password=account.password,
            tls=self._tls_context() if service.upstream_tls else None,
            application=self._world.identity.id,
        )

    def _tls_context(self) -> ssl.SSLContext:
        if self._tls is None:
            self._tls = ssl.create_default_context(cafile=self._authority or None)
        return self._tls
