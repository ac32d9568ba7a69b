"""Track the upstreams and whether they are listed, missing or gone.

An entry in the store is only a hint.  Entries lapse while the store is down, and come back soon
after it if their upstream is alive; only what is still missing after ``RETURN_GRACE_S`` counts as
gone.
"""

from bronzekeel.core.routing.evacuated_centres import RESTORE_CONFIRM_S, EvacuatedCentres
from bronzekeel.core.routing.model import Upstream, UpstreamEntry
from bronzekeel.core.routing.pool_members import PoolMembers
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.revisions import is_same_incarnation


#: Seconds within which a lapsed entry may come back after an outage of the store.  Live upstreams
#: take about two seconds; half a second is added for reading the entry.
RETURN_GRACE_S = 2.5

#: Lapses that count as an outage: at least this many, and at least as many as there are upstreams
#: still listed.  Two crashes in a service of three are no outage.
_MIN_OUTAGE_LAPSES = 3

#: Seconds for which gone upstreams are remembered, so that packets of their flows still reach an
#: upstream that is alive but unlisted.  It is the users' bound on the age of a flow.
RETENTION_S = 60.0

#: Seconds for which an entry with an older start time must stand before it is applied.  A live
#: upstream writes its entry about every 0.8 s, and is unlisted if it does not write it for three
#: times that.
OLDER_START_CONFIRM_S = 3.0


class _UnconfirmedEntry:
    """Hold an entry that looks outdated; it is applied at `confirmed_at` if it still stands."""

    __slots__ = ('confirmed_at', 'entry')

    def __init__(self, entry: UpstreamEntry, confirmed_at: float) -> None:
        self.entry = entry
        self.confirmed_at = confirmed_at


class Directory:
    """Hold all upstreams by name, by service and by short number.

    Every change up to `newest_revision` is known; entries may be newer.  Every removal after
    `removals_since` is remembered.  The last listing `has_gaps` if some names in it were
    unreadable; `unreadable_by_name` has the revisions of entries that were never readable here.
    `pools_by_service` has the pools of a service by data centre.  `changes` counts changes that
    affect where packets go.  `ordered` is disabled only by tests that show the effect of the order
    by revision.
    """

    def __init__(self) -> None:
        """Start without upstreams."""
        self.by_name: dict[str, Upstream] = {}
        self.by_number: dict[int, Upstream] = {}
        self.pools_by_service: dict[str, dict[str, Pool]] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self.grace_until: float = 0
        self.newest_revision = 0
        self.removals_since = 0
        self.has_gaps = False
        self.unreadable_by_name: dict[str, int] = {}
        self.ordered = True
        self.changes = 0
        self._lapsed: list[Upstream] = []
        self.evacuated_centres = EvacuatedCentres()
        self._unconfirmed_by_name: dict[str, _UnconfirmedEntry] = {}
        self.pool_members = PoolMembers(self.pools_by_service)

    @property
    def listed_count(self) -> int:
        """Number of upstreams that the store lists."""
        return sum(upstream.listed for upstream in self.by_name.values())

    @property
    def listed_names(self) -> frozenset[str] | None:
        """Names of all upstreams that the store lists, None if some of them are unreadable."""
        if self.has_gaps:
            return None
        listed = (name for name, upstream in self.by_name.items() if upstream.listed)
        return frozenset((*listed, *self.unreadable_by_name))

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service in the order they were added, including gone ones."""
        return list(self._by_service.get(service, {}).values())

    def pools_of(self, data_centre: str) -> list[Pool]:
        """Return the pools of all services in a data centre."""
        return [
            pool_by_centre[data_centre]
            for pool_by_centre in self.pools_by_service.values()
            if data_centre in pool_by_centre
        ]

    def remote_pools(self, data_centre: str) -> dict[tuple[str, str], Pool]:
        """Return the pools of other data centres by service and data centre."""
        return {
            (service, centre): pool
            for service, pool_by_centre in self.pools_by_service.items()
            for centre, pool in pool_by_centre.items()
            if centre != data_centre
        }

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that have or had upstreams."""
        by_service = self.pools_by_service.values()
        return frozenset(centre for by_centre in by_service for centre in by_centre)

    def is_queueing(self, data_centre: str, now: float) -> bool:
        """Whether requests wait for free capacity at a data centre's upstreams."""
        return any(pool.queued_s(now) for pool in self.pools_of(data_centre))

    def update_evacuated_pools(self) -> None:
        """Mark the pools of evacuated data centres, so that they get no new flows."""
        closed = self.evacuated_centres.names
        for pool_by_centre in self.pools_by_service.values():
            for centre, pool in pool_by_centre.items():
                pool.evacuated = centre in closed
        self.pool_members.invalidate_all_capacities()

    def advance_revision(self, revision: int) -> None:
        """Record that every change up to `revision` is known.

        The revision of a single entry is no reason for this: changes before it may be unknown.
        """
        self.newest_revision = max(self.newest_revision, revision)

    def note_recovered(self, now: float) -> None:
        """Start the grace period in which entries that lapsed during an outage may come back."""
        self.grace_until = now + RETURN_GRACE_S

    @property
    def unconfirmed_entries(self) -> list[UpstreamEntry]:
        """Entries that are not applied yet.

        They have an older start time than the known entry, or come from a backup of the store that
        was made before the upstream announced its drain.
        """
        return [unconfirmed.entry for unconfirmed in self._unconfirmed_by_name.values()]

    def apply(self, entry: UpstreamEntry, now: float) -> bool:
        """Apply a listed entry; return whether the upstream is new or has changed.

        A restarted upstream keeps nothing: all state of its former process is dropped, and it joins
        the pool of its new entry.
        """
        known = self.by_name.get(entry.name)
        self.unreadable_by_name.pop(entry.name, None)
        if known is None:
            self._add(entry, now)
            return True
        if self.ordered and entry.revision < max(known.entry.revision, known.removed_revision):
            return False
        if entry.is_restart_of(known.entry):
            return self._restart(known.entry, entry, now)
        if _reverts_drain(known.entry, entry) and self._is_from_backup(entry, now):
            return False
        self._unconfirmed_by_name.pop(entry.name, None)
        returned = known.missing_at is not None
        self.pool_members.invalidate_capacity(known.pool)
        known.missing_at = None
        known.left = False
        self.changes += 1
        if entry.revision == known.entry.revision:
            return returned
        known.entry = entry
        known.warm_at = now + entry.cold_s
        return True

    def due_unconfirmed(self, now: float) -> list[UpstreamEntry]:
        """Return the unconfirmed entries that are due to be applied."""
        return [
            unconfirmed.entry
            for unconfirmed in self._unconfirmed_by_name.values()
            if now >= unconfirmed.confirmed_at
        ]

    def withhold(self, name: str, revision: int) -> bool:
        """Record that `revision` made an entry unreadable; return whether it was usable before.

        The upstream may be alive: it gets no new flows, and keeps its open ones.
        """
        known = self.by_name.get(name)
        if known is None:
            self.unreadable_by_name[name] = revision
            return False
        if revision <= max(known.entry.revision, known.removed_revision):
            return False
        self.changes += 1
        self._unconfirmed_by_name.pop(name, None)
        self.pool_members.invalidate_capacity(known.pool)
        used = known.entry.usable
        known.entry = known.entry.unusable(revision)
        return used

    def add_unlisted(self, entry: UpstreamEntry, now: float) -> None:
        """Add an upstream that the store no longer lists, unless it is known."""
        if entry.name not in self.by_name:
            self._add(entry, now)

    def note_removed(self, name: str, revision: int, now: float) -> Upstream | None:
        """Record the removal of an entry by `revision`; return the upstream if it was listed.

        An upstream that was draining has left.  One that vanished while the store was available is
        gone at once; after an outage it may come back.
        """
        known = self.by_name.get(name)
        self.unreadable_by_name.pop(name, None)
        if known is None:
            self.removals_since = max(self.removals_since, revision)
            return None
        if revision < known.entry.revision:
            return None
        known.removed_revision = max(known.removed_revision, revision)
        self._unconfirmed_by_name.pop(name, None)
        if known.missing_at is not None:
            return None
        self.changes += 1
        self.pool_members.invalidate_capacity(known.pool)
        known.missing_at = now
        known.left = known.entry.draining
        known.gone_at = now if known.left else max(now, self.grace_until)
        if not known.left:
            self._suspect_outage(known, now)
        return known

    def forget_old(self, now: float) -> None:
        """Remove upstreams that have been gone for long, and halve the request counts of all."""
        for name, upstream in list(self.by_name.items()):
            upstream.recent_requests /= 2
            if upstream.missing_at is None or now < upstream.missing_at + RETENTION_S:
                continue
            self.removals_since = max(self.removals_since, upstream.removed_revision)
            self._remove(name)

    def _restart(self, former: UpstreamEntry, entry: UpstreamEntry, now: float) -> bool:
        """Replace an upstream by its restarted process; return whether that is done.

        An older start time is applied only after a wait.  Without the wait, a delayed write of the
        former process, or a restore of the store from a backup, would bring the former process
        back.  An older start time that persists is that of a host whose clock was set back.
        """
        unconfirmed = self._unconfirmed_by_name.get(entry.name)
        if entry.started_ms < former.started_ms:
            from_backup = not is_same_incarnation(former.revision, entry.revision)
            wait_s = RESTORE_CONFIRM_S if from_backup else OLDER_START_CONFIRM_S
            confirmed_at = unconfirmed.confirmed_at if unconfirmed else now + wait_s
            if now < confirmed_at:
                self._unconfirmed_by_name[entry.name] = _UnconfirmedEntry(entry, confirmed_at)
                return False
        self._remove(entry.name)
        self._add(entry, now)
        self.changes += 1
        return True

    def _is_from_backup(self, entry: UpstreamEntry, now: float) -> bool:
        """Whether an entry likely comes from the backup that the store was restored from.

        Such an entry stays unconfirmed for a while.  Otherwise, if an upstream announced its drain
        after the backup was made, new flows would go to it while it stops, or to its address after
        that.  A second entry of the same incarnation was written after the restore.
        """
        unconfirmed = self._unconfirmed_by_name.get(entry.name)
        if unconfirmed is None or not is_same_incarnation(
            unconfirmed.entry.revision, entry.revision
        ):
            self._unconfirmed_by_name[entry.name] = _UnconfirmedEntry(
                entry, now + RESTORE_CONFIRM_S
            )
            return True
        return now < unconfirmed.confirmed_at and entry.revision <= unconfirmed.entry.revision

    def _suspect_outage(self, lapsed: Upstream, now: float) -> None:
        """Treat entries that lapse together as an outage of the store.

        A watch that waits through an outage reports all lapses at once when the store is back,
        before the entries are written again.  Without the grace period, every caller would be
        refused until then.  Crashes affect one upstream at a time, and a network partition those of
        one data centre.
        """
        self._lapsed = [
            other
            for other in (*self._lapsed, lapsed)
            if other.missing_at is not None and now < other.missing_at + RETURN_GRACE_S
        ]
        if len(self._lapsed) < max(_MIN_OUTAGE_LAPSES, self.listed_count):
            return
        self.note_recovered(now)
        for other in self._lapsed:
            other.gone_at = max(other.gone_at, self.grace_until)

    def _add(self, entry: UpstreamEntry, now: float) -> None:
        """Add an upstream.

        Two upstreams may have the same short number.  The first keeps it; the other gets no flows,
        since its packets would go to the first.
        """
        upstream = Upstream(entry, now, self._pool_of(entry))
        holder = self.by_number.setdefault(entry.short_number, upstream)
        self.by_name[entry.name] = upstream
        if holder is upstream:
            self._by_service.setdefault(entry.service, {})[entry.name] = upstream
            self.pool_members.add(upstream)

    def _pool_of(self, entry: UpstreamEntry) -> Pool:
        """Return the pool that an upstream belongs to; pools are few and never removed."""
        by_centre = self.pools_by_service.setdefault(entry.service, {})
        centre = entry.data_centre
        created = Pool(entry.service, centre, evacuated=centre in self.evacuated_centres.names)
        return by_centre.setdefault(centre, created)

    def _remove(self, name: str) -> None:
        removed = self.by_name.pop(name)
        entry = removed.entry
        self._unconfirmed_by_name.pop(name, None)
        holder = self.by_number.get(entry.short_number)
        if holder is not None and holder.entry.name == name:
            self.by_number.pop(entry.short_number)
        self._by_service.get(entry.service, {}).pop(name, None)
        self.pool_members.remove(removed)


def _reverts_drain(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    """Whether another incarnation of the store lists a draining upstream as not draining."""
    if is_same_incarnation(known.revision, entry.revision):
        return False
    return known.draining and not entry.draining
