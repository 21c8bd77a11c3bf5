"""Replace the primary of a service when it fails or leaves: detect, choose, appoint."""

from datetime import timedelta

import gevent
from bramleyrill_base import log_event
from bramleyrill_core import MemberRole, rendezvous_order
from bramleyrill_core.catalog import MemberEntry, MemberRow
from bramleyrill_core.leadership import (
    NO_MEMBER,
    DutyView,
    Evidence,
    LeadStart,
    Poll,
    Verdict,
    assess_primary,
    choose_from,
    pending_member,
    starts_with,
)
from bramleyrill_core.permits import StatusReport
from bramleyrill_core.placement import holder_candidates, slow_vms
from bramleyrill_platform import (
    AppointResult,
    DutyClient,
    StoreClient,
)

from bramleyrill_entry._change_announcements import ChangeAnnouncements
from bramleyrill_entry._confirmation import PrimaryConfirmation
from bramleyrill_entry._duty_inquiry import DutyInquiry
from bramleyrill_entry._duty_leases import DutyLeases, SupervisedService
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._fence import demote, end_permits
from bramleyrill_entry._member_commands import MemberCommands
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._permits import PermitKeeper
from bramleyrill_entry._primary_evidence import PrimaryEvidence
from bramleyrill_entry._replica_roster import ReplicaRoster
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._successor_search import POLL_INTERVAL, SuccessorSearch
from bramleyrill_entry._unfinished_change import UnfinishedChanges

SUPERVISION_INTERVAL = timedelta(milliseconds=250)
# Computing this VM's index among the supervisors hashes every VM, so it is cached.
INDEX_CACHE_TIME = timedelta(seconds=1)
# Number of VMs that supervise a service. Each acts this much later than the one before it, so that
# normally only the first does.
MAX_SUPERVISORS = 3
SUPERVISOR_DELAY = timedelta(milliseconds=700)
# A planned change waits this long for open transactions to end.
TRANSACTION_DRAIN_TIMEOUT = timedelta(seconds=1.2)
# New fenced work is paused at most this long during a planned change.
MAX_PAUSE = timedelta(seconds=5)
MAX_APPOINT_ATTEMPTS = 6
APPOINT_RETRY_PAUSE = timedelta(milliseconds=300)
# How long to wait for the platform to name the primary of a service that has none.
NO_PRIMARY_GRACE = timedelta(seconds=3)


class Supervisor:
    """Replace primaries that failed or are draining."""

    def __init__(
        self,
        state: EntryState,
        net: PeerNet,
        schedulers: MemberSchedulers,
        executor: Executor,
        store: StoreClient,
        duties: DutyClient,
        permits: PermitKeeper | None = None,
    ) -> None:
        self._state = state
        self._schedulers = schedulers
        self._announce = ChangeAnnouncements(state, net)
        self.leases = DutyLeases(state, store)
        self._inquiry = DutyInquiry(state, net, self.leases)
        self._confirmation = PrimaryConfirmation(state, self.leases, self._inquiry)
        self._duties = duties
        self._permits = permits or PermitKeeper(state, store)
        self._evidence = PrimaryEvidence(state, executor, self._permits)
        self._commands = MemberCommands(net)
        self._search = SuccessorSearch(state, self._commands)
        self._roster = ReplicaRoster(
            state, self.leases, self._search, may_confirm=not self._permits.needed
        )
        self._unfinished = UnfinishedChanges(state, self.leases, self._search)
        self._services: dict[str, SupervisedService] = {}

    def tick(self) -> None:
        """Start a check of every service that has none in progress."""
        if self._state.stopping:
            return
        for service in self._known_services():
            supervised = self._services.get(service)
            if supervised is None:
                supervised = SupervisedService(service, DutyView(), self._state.now())
                self._services[service] = supervised
            if not supervised.in_progress:
                supervised.in_progress = True
                gevent.spawn(self._run_check, supervised)

    def _known_services(self) -> list[str]:
        """Return the configured services that have known members.

        Any writer of the store may name another service in an entry, and nothing is ordered for it.
        """
        configured = self._state.catalog.services_by_name
        services = {row.entry.service for row in self._state.members.members}
        return sorted(services & configured.keys())

    def _run_check(self, supervised: SupervisedService) -> None:
        try:
            self._supervise(supervised)
        except Exception as error:
            # The next tick starts a new check.
            log_event("supervision_failed", service=supervised.service, error=repr(error))
        finally:
            supervised.in_progress = False

    def _supervise(self, supervised: SupervisedService) -> None:
        state = self._state
        row = state.members.primary_of(supervised.service)
        member = row.entry.id if row is not None else ""
        if member != supervised.member:
            supervised.member, supervised.primary_since = member, state.now()
        if row is not None and not row.accepts_work:
            self._replace_draining(supervised, row)
            return
        index = self._supervisor_index(supervised)
        if index is None:
            return
        silent_for = self._evidence.silent_for(supervised)
        if row is None:
            if silent_for > NO_PRIMARY_GRACE + index * SUPERVISOR_DELAY:
                self._replace_primary(supervised, None)
            return
        if assess_primary(Evidence(silent_for - index * SUPERVISOR_DELAY)) is Verdict.FINE:
            if index == 0 and self._permits.needed:
                self._confirmation.confirm(supervised, row.entry)
            if self._unfinished.is_left(supervised, row.entry, index):
                self._replace_primary(supervised, row.entry)
            else:
                self._roster.keep(supervised, row.entry, index)
            return
        silent_for, refused = self._evidence.collect(supervised, row.entry)
        evidence = Evidence(silent_for - index * SUPERVISOR_DELAY, checked=True, refused=refused)
        if assess_primary(evidence) is Verdict.REPLACE:
            log_event(
                "primary_suspected",
                service=supervised.service,
                member=member,
                silent_for=silent_for,
                refused=refused,
                turn=index,
            )
            self._replace_primary(supervised, row.entry)

    def _supervisor_index(self, supervised: SupervisedService) -> int | None:
        """Return this VM's position among the supervisors of a service, or None."""
        now = self._state.now()
        if now >= supervised.index_valid_until:
            # A slow VM would act late; it goes on only with a duty that it holds.
            passed_by = slow_vms(self._state.vms)
            if self._state.vm in passed_by and self.leases.holds(supervised):
                passed_by -= {self._state.vm}
            vms = [vm.id for vm in self._state.vms.usable() if vm.id not in passed_by]
            order = rendezvous_order(supervised.service, vms)[:MAX_SUPERVISORS]
            own = self._state.vm
            supervised.index = order.index(own) if own in order else None
            supervised.index_valid_until = now + INDEX_CACHE_TIME
        return supervised.index

    def _is_duty_free(self, supervised: SupervisedService) -> bool:
        """Return whether a duty that has no record of this era is free for this VM."""
        self._inquiry.ask(supervised)
        return self.leases.may_take_duties(supervised)

    # Choosing and appointing a successor.

    def _replace_primary(self, supervised: SupervisedService, primary: MemberEntry | None) -> None:
        if not self.leases.read(supervised):
            return
        if supervised.duty.current_record is None:
            self._inquiry.ask(supervised)
        if primary is not None and self._replace_if_alive(supervised, primary):
            return
        poll = self._search.poll(supervised, primary)
        if poll.sync_replicas and poll.candidates and poll.is_complete:
            poll = self._fence_replicas(supervised, primary)
            if poll is None:
                return
        chosen = self._choose(supervised, primary, poll)
        if chosen is not None:
            self._appoint(supervised, chosen, primary)
        elif poll.is_complete and not poll.candidates:
            log_event("no_successor", service=supervised.service, asked=0)
        else:
            self._announce.leaderless(supervised, primary, poll)

    def _replace_if_alive(self, supervised: SupervisedService, primary: MemberEntry) -> bool:
        """Demote a primary with synchronous replicas that still answers, and replace it.

        Other VMs may still reach it, and what it commits after the choice of the successor would be
        acknowledged and lost. Return False if it did not answer or the duty is not free.
        """
        service = supervised.service
        if not self._search.sync_replicas_of(service) or not self.leases.may_acquire(supervised):
            return False
        report = demote(self._commands, primary, self._next_term(supervised))
        if report is None:
            return False
        self._appoint_caught_up(supervised, primary, report)
        return True

    def _fence_replicas(
        self, supervised: SupervisedService, primary: MemberEntry | None
    ) -> Poll | None:
        """Make sure that the primary can acknowledge no more commits, and poll the final marks.

        A primary that crashed is back with its log and leads until its successor does; what it
        acknowledges after the choice would be lost. Only the holder of the duty fences, and its
        record shows that a change began, so that another VM finishes it if this one fails. Return
        None if another VM holds the duty.
        """
        pending = pending_member(supervised.duty, primary.id if primary else "")
        starts = supervised.starts if pending else starts_with(supervised.starts, None, primary)
        replicas = self._roster.replicas_to_store(supervised.service)
        if self.leases.acquire(supervised, pending or NO_MEMBER, starts, replicas) is None:
            return None
        if primary is not None:
            self._announce.replacement(primary)
        return self._search.fence(supervised, primary, self._next_term(supervised))

    def _choose(
        self, supervised: SupervisedService, primary: MemberEntry | None, poll: Poll
    ) -> str | None:
        """Return the member to appoint; an order that may still take effect is repeated.

        Where the platform checks the tokens of orders, a later one replaces it, so the member of
        that order is not preferred to one that is known to have all acknowledged commits.
        """
        pending = pending_member(supervised.duty, primary.id if primary else "")
        if poll.sync_replicas and not self._permits.needed:
            return choose_from(poll)
        if pending in (candidate.member for candidate in poll.candidates):
            return pending
        chosen = choose_from(poll, self._waited_for_following(supervised, poll))
        if chosen is None and not poll.candidates and pending and primary is not None:
            # No other member is left, and none of the VMs uses the primary while an order for
            # another one is on record.
            return primary.id
        return chosen

    def _waited_for_following(self, supervised: SupervisedService, poll: Poll) -> timedelta:
        """Return for how long only members whose logs went another way have been left."""
        if not poll.has_only_diverged:
            supervised.diverged_since = None
            return timedelta()
        now = self._state.now()
        if supervised.diverged_since is None:
            supervised.diverged_since = now
        return now - supervised.diverged_since

    def _starts_with(
        self, supervised: SupervisedService, chosen: str, primary: MemberEntry | None
    ) -> tuple[LeadStart, ...]:
        """Return the starts to store before a member is ordered."""
        row = self._state.members.members.get(chosen)
        mark = supervised.marks_by_member.get(chosen)
        if row is None or mark is None:
            return ()
        start = LeadStart(chosen, row.entry.address, mark)
        return starts_with(supervised.starts, start, primary)

    def _appoint(
        self,
        supervised: SupervisedService,
        chosen: str,
        primary: MemberEntry | None,
        demoted: bool = False,
    ) -> bool:
        """Write the duty's record, then order the platform to appoint the chosen member.

        `demoted` is whether the old primary is known to be a replica by now. Return whether the
        order was carried out.
        """
        starts = self._starts_with(supervised, chosen, primary)
        replicas = self._roster.replicas_to_store(supervised.service)
        record = self.leases.acquire(supervised, chosen, starts, replicas)
        if record is None:
            return False
        synchronous = self._search.sync_replicas_of(supervised.service) > 0
        if not demoted and not self._end_permits(supervised, chosen, primary):
            return False
        for _ in range(MAX_APPOINT_ATTEMPTS):
            if not self.leases.holds(supervised):
                log_event("duty_lease_ended", service=supervised.service, member=chosen)
                return False
            if synchronous and primary is not None and primary.id != chosen:
                self._announce.replacement(primary)
            result = self._duties.appoint(
                supervised.service, chosen, record.holder, record.fencing_token
            )
            log_event(
                "primary_ordered",
                service=supervised.service,
                member=chosen,
                earlier=primary.id if primary else "-",
                token=record.fencing_token,
                result=result,
            )
            if result is AppointResult.DONE:
                self._announce.appointment(supervised.service, chosen)
                if synchronous and self.leases.holds(supervised):
                    self._search.resume(supervised.service, primary, chosen)
                return True
            if result is AppointResult.REFUSED:
                return False
            gevent.sleep(APPOINT_RETRY_PAUSE.total_seconds())
        return False

    def _end_permits(
        self, supervised: SupervisedService, chosen: str, primary: MemberEntry | None
    ) -> bool:
        """Return once no VM uses the old primary; False if the chosen member cannot be fenced."""
        if not self._permits.needed or (primary is not None and primary.id == chosen):
            return True
        successor = self._state.members.members.get(chosen)
        if successor is None:
            return False
        primaries = self._possible_primaries(supervised.service, primary, chosen)
        return end_permits(
            self._state, self._commands, primaries, successor.entry, self._next_term(supervised)
        )

    def _possible_primaries(
        self, service: str, primary: MemberEntry | None, chosen: str
    ) -> list[MemberEntry]:
        """Return the members other than the chosen one that a VM may take for the primary.

        These are the one that this VM knows, and those that say that they lead: after a restart
        under another id the primary is not the one that was proved last.
        """
        by_id = {
            row.entry.id: row.entry
            for row in self._state.members.members_of_service(service)
            if row.entry.role is MemberRole.PRIMARY
        }
        if primary is not None:
            by_id[primary.id] = primary
        by_id.pop(chosen, None)
        return list(by_id.values())

    def _next_term(self, supervised: SupervisedService) -> int:
        """Return a term above every term that this VM knows."""
        return max(self._state.members.term_of(supervised.service), supervised.highest_term) + 1

    # Planned changes.

    def _replace_draining(self, supervised: SupervisedService, row: MemberRow) -> None:
        """Replace a draining primary without losing a log entry.

        The holder does it, as it can pause writes; the supervisors act if the holder does not.
        """
        holder = holder_candidates(self._state.vms, row.entry)[0]
        if holder != self._state.vm:
            index = self._supervisor_index(supervised)
            if (
                index is not None
                and self._schedulers.draining_for(row.entry.id)
                > MAX_PAUSE / 2 + index * SUPERVISOR_DELAY
            ):
                self._replace_primary(supervised, row.entry)
            return
        if not self._is_duty_free(supervised):
            # Pausing the primary's work would not help before the duty can be taken.
            return
        log_event("planned_change", service=supervised.service, member=row.entry.id)
        scheduler = self._schedulers.scheduler_for(row.entry.id)
        if scheduler is None:
            self._replace_primary(supervised, row.entry)
            return
        scheduler.paused_until = self._state.now() + MAX_PAUSE
        try:
            self._hand_over(supervised, row)
        finally:
            scheduler.paused_until = None
            self._state.primary_changed.fire()

    def _hand_over(self, supervised: SupervisedService, row: MemberRow) -> None:
        """Give open work time to end, then appoint a replica that has all of the primary's entries.

        If none has them in time, or the primary's last position cannot be proved, replace it as if
        it had failed.
        """
        scheduler = self._schedulers.scheduler_for(row.entry.id)
        deadline = self._state.now() + TRANSACTION_DRAIN_TIMEOUT
        while scheduler.busy and self._state.now() < deadline:
            gevent.sleep(POLL_INTERVAL.total_seconds())
        if self._permits.needed or self._search.sync_replicas_of(supervised.service):
            self._hand_over_demoted(supervised, row.entry)
            return
        primary_mark = None
        if scheduler.prove() is None:
            primary_mark = self._state.proofs.history_of(supervised.service).newest.mark
        chosen = self._search.wait_for(supervised, row.entry, primary_mark)
        if chosen is None or not self.leases.read(supervised):
            self._replace_primary(supervised, row.entry)
            return
        self._appoint(supervised, chosen, row.entry)

    def _hand_over_demoted(self, supervised: SupervisedService, primary: MemberEntry) -> None:
        """Demote the primary before another member is appointed.

        Its last position is then final, and a replica that has it loses nothing. Where VMs use the
        primary under permits, that ends them all at once. Where replicas are synchronous, open
        transactions could otherwise commit until the successor leads; these are then rolled back.
        """
        if not self.leases.read(supervised):
            return
        if not self.leases.may_acquire(supervised):
            return
        self._search.poll(supervised, primary)
        report = demote(self._commands, primary, self._next_term(supervised))
        if report is None:
            self._replace_primary(supervised, primary)
            return
        self._appoint_caught_up(supervised, primary, report)

    def _appoint_caught_up(
        self, supervised: SupervisedService, primary: MemberEntry, report: StatusReport
    ) -> None:
        """Appoint a replica that has the last entry of a demoted primary.

        If none gets it in time, the primary leads again where commits must not be lost, and the
        change is tried again.
        """
        chosen = self._search.wait_for(supervised, primary, report.mark)
        if chosen is None and not self._search.sync_replicas_of(supervised.service):
            chosen = choose_from(self._search.poll(supervised, primary))
        supervised.marks_by_member[primary.id] = report.mark
        self._appoint(supervised, chosen or primary.id, primary, demoted=True)
