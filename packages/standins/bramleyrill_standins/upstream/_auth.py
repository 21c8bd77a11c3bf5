"""Authentication of callers with a clear-text password or SCRAM-SHA-256."""

from collections.abc import Callable

from bramleyrill_wire import postgres
from returns.pipeline import is_successful

from bramleyrill_standins.upstream._errors import SqlError
from bramleyrill_standins.upstream._frames import FrameReader
from bramleyrill_standins.upstream._settings import MemberSettings


def authenticate(
    settings: MemberSettings,
    user: str,
    reader: FrameReader,
    send: Callable[[bytes], None],
) -> None:
    """Check the password of `user`; raise SqlError with SQLSTATE 28P01 if it is wrong."""
    if settings.passwords:
        refused = SqlError("28P01", f'password authentication failed for user "{user}"')
        password = settings.passwords.get(user)
        if password is None:
            raise refused
        if settings.scram:
            _check_scram(settings.verifier(user), reader, send, refused)
        else:
            send(postgres.AUTHENTICATION_CLEARTEXT)
            if reader.read_message()[1].rstrip(b"\0").decode() != password:
                raise refused
    send(postgres.AUTHENTICATION_OK)


def _check_scram(
    verifier: postgres.Verifier,
    reader: FrameReader,
    send: Callable[[bytes], None],
    refused: SqlError,
) -> None:
    login = postgres.ScramServerLogin(verifier)
    send(postgres.authentication_sasl())
    _, body = reader.read_message()
    _, first = postgres.read_sasl_initial(postgres.frame(b"p", body))
    answer = login.handle_client_first(first)
    if not is_successful(answer):
        raise refused
    send(postgres.authentication_sasl_continue(answer.unwrap()))
    answer = login.handle_client_final(reader.read_message()[1])
    if not is_successful(answer):
        raise refused
    send(postgres.authentication_sasl_final(answer.unwrap()))
