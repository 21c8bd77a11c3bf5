"""Messages that call the functions of the data path, so that traces exercise the same code."""

from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field, frozen
from bramleyrill_base import ErrorKind, Problem, Table
from returns.result import Failure, Result

from bramleyrill_core._core import handles
from bramleyrill_core._messages import Effect, Message
from bramleyrill_core._values import DatabaseId, Mark, MemberId, MemberStatus, TermStart, VmId
from bramleyrill_core._world import World
from bramleyrill_core.retries import count_request, may_retry
from bramleyrill_core.routing import Route, check_read, confirm_read, next_route, route
from bramleyrill_core.sessions import SessionTables, apply_setting, classify, open_session
from bramleyrill_core.succession import PrimaryAnswer, check_answer, permit_for


@define
class RequestTables:
    """Last route of each session."""

    routes: Table[int, Route] = field(factory=Table)


@frozen
class SessionOpened(Message):
    """A caller logged in."""

    session: int
    user: str
    fleet: str = "kintsugi"
    service: str = "pieces"
    database: str = "main"


@frozen
class SettingChanged(Message):
    """A caller set a `bramleyrill.*` setting."""

    session: int
    name: str
    value: str


@frozen
class StatementArrived(Message):
    """A caller sent a statement that needs a route."""

    session: int
    sql: str
    in_transaction: bool = False


@frozen
class RouteFailed(Message):
    """The holder of the session's last route refused the request."""

    session: int
    kind: ErrorKind


@frozen
class ReadArrived(Message):
    """A read for a replica arrived at this holder."""

    member: MemberId
    floor: Mark
    age: timedelta


@frozen
class ReadFinished(Message):
    """A replica answered a read; `status` was read after it."""

    floor: Mark
    status: MemberStatus


@frozen
class WriteArrived(Message):
    """A statement for the primary arrived at this holder."""

    database: DatabaseId


@frozen
class AnswerArrived(Message):
    """An answer of the primary arrived at the entry VM."""

    session: int
    request_sent: timedelta
    permit_age: timedelta
    permit_length: timedelta
    mark: Mark
    history: tuple[TermStart, ...]
    wrote: bool


@frozen
class RequestFailed(Message):
    """`times` requests of a service failed; the core decides whether to retry them."""

    service: str
    kind: ErrorKind
    repeatable: bool
    bytes_sent: bool
    times: int = 1


@frozen
class RequestCounted(Message):
    """`times` requests of a service arrived."""

    service: str
    times: int


@frozen
class RouteChosen(Effect):
    """Send the statement to the holder of `member` on `vm`."""

    session: int
    member: MemberId
    vm: VmId
    at_primary: bool
    floor: Mark


@frozen
class RequestRefused(Effect):
    """Report this kind of error to the caller."""

    kind: ErrorKind


@frozen
class RequestAccepted(Effect):
    """Run the request at the member; `permit_age` is the age of the permit, if one is needed."""

    permit_age: timedelta | None = None


@frozen
class AnswerReleased(Effect):
    """Send the answer to the caller, with a token if it was a write."""

    session: int
    token: str


@frozen
class RequestRepeated(Effect):
    """Retry `times` of the failed requests."""

    times: int


def _yield_route(world: World, session: int, result: Result[Route, Problem]) -> Iterator[Effect]:
    if isinstance(result, Failure):
        yield RequestRefused(result.failure().kind)
        return
    chosen = result.unwrap()
    world.tables(RequestTables).routes.add(session, chosen)
    yield RouteChosen(session, chosen.member, chosen.vm, chosen.at_primary, chosen.required_mark)


def _yield_outcome(result: Result[None, Problem]) -> Iterator[Effect]:
    if isinstance(result, Failure):
        yield RequestRefused(result.failure().kind)
    else:
        yield RequestAccepted()


@handles(SessionOpened)
def _handle_session_opened(world: World, message: SessionOpened) -> None:
    open_session(
        world, message.session, message.fleet, message.service, message.database, message.user
    )


@handles(SettingChanged)
def _handle_setting_changed(world: World, message: SettingChanged) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    return _yield_outcome(apply_setting(world, session, message.name, message.value))


@handles(StatementArrived)
def _handle_statement(world: World, message: StatementArrived) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    statement_class = classify(message.sql).kind
    return _yield_route(
        world, session.id, route(world, session, statement_class, message.in_transaction)
    )


@handles(RouteFailed)
def _handle_route_failed(world: World, message: RouteFailed) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    earlier = world.tables(RequestTables).routes.by_id[message.session]
    chosen = next_route(world, session, earlier, Problem(message.kind))
    return _yield_route(world, session.id, chosen)


@handles(ReadArrived)
def _handle_read_arrived(world: World, message: ReadArrived) -> Iterator[Effect]:
    return _yield_outcome(check_read(world, message.member, message.floor, message.age))


@handles(ReadFinished)
def _handle_read_finished(world: World, message: ReadFinished) -> Iterator[Effect]:
    confirmed = confirm_read(message.floor, message.status)
    return _yield_outcome(
        confirmed if world.rules.on("read_confirmed") else Result.from_value(None)
    )


@handles(WriteArrived)
def _handle_write_arrived(world: World, message: WriteArrived) -> Iterator[Effect]:
    permit = permit_for(world, message.database)
    if permit is None:
        yield RequestRefused(ErrorKind.NOT_RUN_NO_PRIMARY)
    else:
        yield RequestAccepted(world.clock.monotonic() - permit.probe_sent)


@handles(AnswerArrived)
def _handle_answer(world: World, message: AnswerArrived) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    answer = PrimaryAnswer(
        message.request_sent,
        message.permit_age,
        message.permit_length,
        message.mark,
        message.history,
        message.wrote,
    )
    result = check_answer(world, session, answer)
    if isinstance(result, Failure):
        yield RequestRefused(result.failure().kind)
    else:
        yield AnswerReleased(session.id, result.unwrap())


@handles(RequestFailed)
def _handle_request_failed(world: World, message: RequestFailed) -> Iterator[Effect]:
    arguments = (message.service, message.kind, message.repeatable, message.bytes_sent)
    allowed = sum(may_retry(world, *arguments) for _ in range(message.times))
    yield RequestRepeated(allowed) if allowed else RequestRefused(message.kind)


@handles(RequestCounted)
def _handle_requests_counted(world: World, message: RequestCounted) -> None:
    for _ in range(message.times):
        count_request(world, message.service)
