"""Messages that wrap the functions of the data path, so that traces run the same code."""

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
from bramleyrill_core.succession import PrimaryAnswer, judge_answer, permit_for


@define
class RequestTables:
    """The last route of each session."""

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
    """A caller sent a statement; the answer is its route."""

    session: int
    sql: str
    in_transaction: bool = False


@frozen
class RouteFailed(Message):
    """The holder of the session's last route refused."""

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
    """A replica answered a read; `status` was taken behind it."""

    floor: Mark
    status: MemberStatus


@frozen
class WriteArrived(Message):
    """A statement for the primary arrived at this holder."""

    database: DatabaseId


@frozen
class AnswerArrived(Message):
    """The answer of the primary arrived at the entry VM."""

    session: int
    request_sent: timedelta
    permit_age: timedelta
    permit_length: timedelta
    mark: Mark
    history: tuple[TermStart, ...]
    wrote: bool


@frozen
class RequestFailed(Message):
    """A request of a service failed; may it be sent again?"""

    service: str
    kind: ErrorKind
    repeatable: bool
    bytes_sent: bool
    times: int = 1


@frozen
class RequestCounted(Message):
    """Requests of a service arrived."""

    service: str
    times: int


@frozen
class RouteChosen(Effect):
    """Send the statement to this holder."""

    session: int
    member: MemberId
    vm: VmId
    at_primary: bool
    floor: Mark


@frozen
class RequestRefused(Effect):
    """Tell the caller this kind of error."""

    kind: ErrorKind


@frozen
class RequestAccepted(Effect):
    """Run the request at the member; `permit_age` is that of the permit, if one is needed."""

    permit_age: timedelta | None = None


@frozen
class AnswerReleased(Effect):
    """Send the answer to the caller, with the token if it wrote."""

    session: int
    token: str


@frozen
class RequestRepeated(Effect):
    """Send the request again; `times` of those that failed."""

    times: int


def _chosen(world: World, session: int, result: Result[Route, Problem]) -> Iterator[Effect]:
    if isinstance(result, Failure):
        yield RequestRefused(result.failure().kind)
        return
    found = result.unwrap()
    world.tables(RequestTables).routes.add(session, found)
    yield RouteChosen(session, found.member, found.vm, found.at_primary, found.required_mark)


def _checked(result: Result[None, Problem]) -> Iterator[Effect]:
    if isinstance(result, Failure):
        yield RequestRefused(result.failure().kind)
    else:
        yield RequestAccepted()


@handles(SessionOpened)
def _open(world: World, message: SessionOpened) -> None:
    open_session(
        world, message.session, message.fleet, message.service, message.database, message.user
    )


@handles(SettingChanged)
def _set(world: World, message: SettingChanged) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    return _checked(apply_setting(world, session, message.name, message.value))


@handles(StatementArrived)
def _route(world: World, message: StatementArrived) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    kind = classify(message.sql).kind
    return _chosen(world, session.id, route(world, session, kind, message.in_transaction))


@handles(RouteFailed)
def _fall_back(world: World, message: RouteFailed) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    earlier = world.tables(RequestTables).routes.by_id[message.session]
    found = next_route(world, session, earlier, Problem(message.kind))
    return _chosen(world, session.id, found)


@handles(ReadArrived)
def _check_read(world: World, message: ReadArrived) -> Iterator[Effect]:
    return _checked(check_read(world, message.member, message.floor, message.age))


@handles(ReadFinished)
def _confirm_read(world: World, message: ReadFinished) -> Iterator[Effect]:
    confirmed = confirm_read(message.floor, message.status)
    return _checked(confirmed if world.rules.on("read_confirmed") else Result.from_value(None))


@handles(WriteArrived)
def _check_permit(world: World, message: WriteArrived) -> Iterator[Effect]:
    permit = permit_for(world, message.database)
    if permit is None:
        yield RequestRefused(ErrorKind.NOT_RUN_NO_PRIMARY)
    else:
        yield RequestAccepted(world.clock.monotonic() - permit.probe_sent)


@handles(AnswerArrived)
def _judge(world: World, message: AnswerArrived) -> Iterator[Effect]:
    session = world.tables(SessionTables).sessions.by_id[message.session]
    answer = PrimaryAnswer(
        message.request_sent,
        message.permit_age,
        message.permit_length,
        message.mark,
        message.history,
        message.wrote,
    )
    result = judge_answer(world, session, answer)
    if isinstance(result, Failure):
        yield RequestRefused(result.failure().kind)
    else:
        yield AnswerReleased(session.id, result.unwrap())


@handles(RequestFailed)
def _retry(world: World, message: RequestFailed) -> Iterator[Effect]:
    arguments = (message.service, message.kind, message.repeatable, message.bytes_sent)
    allowed = sum(may_retry(world, *arguments) for _ in range(message.times))
    yield RequestRepeated(allowed) if allowed else RequestRefused(message.kind)


@handles(RequestCounted)
def _count(world: World, message: RequestCounted) -> None:
    for _ in range(message.times):
        count_request(world, message.service)
