"""Submit a text by one conditional update whose outcome can be found out if its answer is lost.

The head object names the accepted text and contains the ids of its submission and of earlier
ones.  If an answer is lost, the submitter reads the head and looks for its id, which also works
after later submissions.  Tagging each version with the transaction that made it, and retaining its
predecessors, follows Dey, "Scalable Transactions across Heterogeneous NoSQL Key-Value Data Stores"
(section 3.1).

If the platform's store is restored from a backup, the heads written since the backup and their
generations are lost, while hosts still use the newest of them.  Therefore the head records the
incarnation of the store in which it was written, and the first text in a new incarnation skips the
generations that may have been lost.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from hashlib import sha256

from msgspec import Struct
from msgspec.json import decode, encode

from bronzekeel.text.checks import check_change, parse_text
from bronzekeel.text.differences import differences
from bronzekeel.text.model import Document


HEAD_KEY = 'bronzekeel/head'
PART_KEY = 'bronzekeel/part/'

_KILO = 1024

#: Bytes of text in one object; the platform's limit is one megabyte.
PART_BYTES = _KILO * _KILO // 2

#: Earlier submission ids that the head retains.
MAX_EARLIER_IDS = 500

#: Upper bound of the generations that a restore of the store can lose: three days of changes at the
#: design size (docs/CAPACITY.md).  Backups are only seconds old.
MAX_LOST_GENERATIONS = 10_000

_MAX_HEAD_ATTEMPTS = 4

#: Incarnation of a store that was never restored.
_FIRST_INCARNATION = 1


class StoreLost(ConnectionError):
    """Raised if the platform did not answer; a write may have taken effect."""


class StoreRefused(ConnectionError):
    """Raised if the platform refused a call, which then had no effect."""


class Stored(Struct, frozen=True):
    """Hold an object of the platform's store; version 0 means that it does not exist.

    `incarnation` increases each time the store is restored from a backup.
    """

    version: int
    body: bytes = b''
    incarnation: int = 0


class ObjectStore(ABC):
    """Read and write objects of the platform's store."""

    @abstractmethod
    async def read(self, key: str) -> Stored:
        """Return an object.  Raises StoreLost or StoreRefused."""

    @abstractmethod
    async def write(self, key: str, body: bytes, version: int) -> Stored | None:
        """Replace the object if it is at `version`; return None if it is not.

        Raises StoreLost if the outcome is not known, StoreRefused if nothing was written.
        """


class Head(Struct, frozen=True):
    """Hold the content of the head object, which identifies the accepted text.

    `parts` are the hashes of the text's parts, `earlier` pairs of submission id and generation.
    The preceding head was read in `incarnation` of the platform's store.
    """

    generation: int
    submission: str
    parts: tuple[str, ...]
    earlier: tuple[tuple[str, int], ...] = ()
    incarnation: int = 0

    def generation_of(self, submission: str) -> int | None:
        """Return the generation of a submission, or None if it is not listed."""
        if submission == self.submission:
            return self.generation
        return dict(self.earlier).get(submission)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The text was accepted as `generation`."""

    generation: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another text was accepted first; nothing was changed."""

    generation: int
    differences: tuple[str, ...]
    remedy: str = 'merge these differences into your text and submit it again'


@dataclass(frozen=True, slots=True)
class Undecided:
    """It is not known yet whether the text was accepted."""

    submission: str

    @property
    def remedy(self) -> str:
        """Return the command that finds out the outcome."""
        return f'run `bronzekeel submit --settle {self.submission}` when the platform answers'


Submitted = Accepted | Conflict | Undecided


class _StoreRestored(Exception):  # noqa: N818 (internal signal)
    """Raised if a head was written in another store incarnation than it was read in."""


async def read_head(store: ObjectStore) -> tuple[int, Head | None]:
    """Return the version and content of the head object."""
    stored = await store.read(HEAD_KEY)
    return stored.version, _decode_head(stored)


def _decode_head(stored: Stored) -> Head | None:
    return decode(stored.body, type=Head) if stored.version else None


def _next_generation(stored: Stored, *, after_restore: bool) -> int:
    """Return a generation higher than any that was ever assigned.

    `after_restore` means that a previous update was made in a restored store and may have replaced
    heads that were not read; it skips another `MAX_LOST_GENERATIONS`.
    """
    head = _decode_head(stored)
    generation, incarnation = (head.generation, head.incarnation) if head else (0, 0)
    restores = stored.incarnation - max(incarnation, _FIRST_INCARNATION)
    skips = max(restores, 0) + after_restore
    return generation + 1 + skips * MAX_LOST_GENERATIONS


async def load_text(store: ObjectStore, head: Head) -> bytes:
    """Return the text of a head, joined from its parts.

    Raises StoreRefused if a part is missing or does not match its hash.
    """
    parts = []
    for name in head.parts:
        stored = await store.read(PART_KEY + name)
        if sha256(stored.body).hexdigest() != name:
            raise StoreRefused(f'part {name} of the text is damaged; submit it again')
        parts.append(stored.body)
    return b''.join(parts)


async def submit(
    store: ObjectStore,
    body: bytes,
    submission: str,
    based_on: int | None = None,
) -> Submitted:
    """Submit a text.

    The parts are written first, each under the hash of its content; then one conditional update of
    the head makes them the accepted text, so that no reader sees an incomplete text.  `based_on`
    is the generation that the operator edited, None for the one in force.  Raises TextError,
    StoreRefused, and StoreLost if the platform stopped answering before the text could have been
    accepted.
    """
    try:
        return await _submit_once(store, body, submission, based_on)
    except _StoreRestored:
        return await _resubmit(store, body, submission)


async def _resubmit(store: ObjectStore, body: bytes, submission: str) -> Submitted:
    """Submit again after a restore; the head that was written may have too low a generation."""
    try:
        return await _submit_once(store, body, submission, after_restore=True)
    except _StoreRestored:
        return Undecided(submission)


async def _submit_once(
    store: ObjectStore,
    body: bytes,
    submission: str,
    based_on: int | None = None,
    *,
    after_restore: bool = False,
) -> Submitted:
    document = parse_text(body)
    stored = await store.read(HEAD_KEY)
    head = _decode_head(stored)
    # A head of this same submission was written to a restored store, which may lack its parts.
    if head is not None and head.submission != submission:
        previous = await load_text(store, head)
        if based_on is not None and based_on != head.generation:
            lines = differences(document, parse_text(previous))
            return Conflict(head.generation, tuple(lines))
        check_change(parse_text(previous), document)
    names = []
    for start in range(0, len(body), PART_BYTES):
        names.append(await _write_part(store, body[start : start + PART_BYTES]))
    new_head = Head(
        _next_generation(stored, after_restore=after_restore),
        submission,
        tuple(names),
        _earlier_ids(head),
        stored.incarnation,
    )
    return await _write_head(store, new_head, stored.version, document)


async def _write_head(
    store: ObjectStore,
    new_head: Head,
    version: int,
    document: Document,
) -> Submitted:
    """Replace the head by `new_head` and return the outcome.

    A conditional update whose answer was lost may have succeeded, failed, or still be in progress.
    Reading the head back distinguishes the first two by the submission id.  While the head is
    unchanged the same update is sent again, which is safe, because only one of them can match the
    old version.

    Raises _StoreRestored if the store was restored in the meantime: versions are reused after a
    restore, so the update may have replaced another head than the one that was read.
    """
    lost = False
    for _ in range(_MAX_HEAD_ATTEMPTS):
        try:
            written = await store.write(HEAD_KEY, encode(new_head), version)
        except (StoreLost, StoreRefused) as error:
            if isinstance(error, StoreRefused) and not lost:
                raise
            lost = True
            written = None
        if written is not None:
            _check_incarnation(new_head, written)
            return Accepted(new_head.generation)
        outcome = await _read_back(store, new_head, version, document)
        if outcome is not None:
            return outcome
    return Undecided(new_head.submission)


async def _read_back(
    store: ObjectStore,
    new_head: Head,
    version: int,
    document: Document,
) -> Submitted | None:
    """Return the outcome of a submission by the current head, or None if it is still open."""
    try:
        stored = await store.read(HEAD_KEY)
        head = _decode_head(stored)
        if head is None or stored.version == version:
            return None
        settled = _outcome_in_head(head, new_head, stored)
        if settled is not None:
            return settled
        previous = await load_text(store, head)
    except (StoreLost, StoreRefused):
        return None
    lines = differences(document, parse_text(previous))
    return Conflict(head.generation, tuple(lines))


def _outcome_in_head(head: Head, new_head: Head, stored: Stored) -> Submitted | None:
    """Return the outcome of the submission of `new_head` by the ids in `head`, None if absent.

    It is undecided once the submission id may have been dropped from the retained ids.
    """
    if head.submission == new_head.submission:
        _check_incarnation(new_head, stored)
    generation = head.generation_of(new_head.submission)
    if generation is not None:
        return Accepted(generation)
    if head.generation - new_head.generation >= MAX_EARLIER_IDS:
        return Undecided(new_head.submission)
    return None


def _check_incarnation(new_head: Head, stored: Stored) -> None:
    """Raise _StoreRestored if `stored` is of another incarnation than `new_head`."""
    if stored.incarnation != new_head.incarnation:
        raise _StoreRestored


def _earlier_ids(head: Head | None) -> tuple[tuple[str, int], ...]:
    if head is None:
        return ()
    ids = (*head.earlier, (head.submission, head.generation))
    return ids[-MAX_EARLIER_IDS:]


async def _write_part(store: ObjectStore, part: bytes) -> str:
    """Write a part under its hash and return the hash; an existing part is identical."""
    name = sha256(part).hexdigest()
    await store.write(PART_KEY + name, part, 0)
    return name


async def settle(store: ObjectStore, submission: str) -> Accepted | Undecided:
    """Return the outcome of a submission that was undecided.

    Raises StoreLost or StoreRefused if the platform does not answer or refuses.
    """
    _, head = await read_head(store)
    generation = head.generation_of(submission) if head else None
    if generation is None:
        return Undecided(submission)
    return Accepted(generation)
