"""Submit a text: one conditional update, settled even if its answer is lost.

The head object carries the submission's own id beside the text, and the ids
of earlier submissions.  When a confirmation is lost the submitter reads the
head back and finds its id, also after others have submitted: tagging each
version with the transaction that made it, and keeping what preceded it, is
the idea of Dey, "Scalable Transactions across Heterogeneous NoSQL Key-Value
Data Stores" (section 3.1).

When the platform's store comes back from a copy, heads since are lost, and their generations with
them, while hosts go by the last of them.  So the head says in which incarnation of the store it
was written, and the first text of another one skips the generations that may have been lost.
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

#: Bytes of text in one object, below the platform's limit of a megabyte.
PART_BYTES = _KILO * _KILO // 2

#: Earlier submission ids that the head keeps.
MAX_EARLIER_IDS = 500

#: Generations that a restore of the store may have lost at most.  Source: three days of changes at
#: the size to design for (docs/CAPACITY.md); copies are some seconds old.
MAX_LOST_GENERATIONS = 10_000

_MAX_HEAD_ATTEMPTS = 4

#: Incarnation of a store that was never restored.
_FIRST_INCARNATION = 1


class StoreLost(ConnectionError):
    """Tell that no answer came: a write may have taken effect."""


class StoreRefused(ConnectionError):
    """Tell that the platform refused a call: it took no effect."""


class Stored(Struct, frozen=True):
    """Hold an object as the platform has it; version 0 means there is none.

    `incarnation` rises each time that the platform's store comes back from a copy.
    """

    version: int
    body: bytes = b''
    incarnation: int = 0


class ObjectStore(ABC):
    """Read and write the platform's objects."""

    @abstractmethod
    async def read(self, key: str) -> Stored:
        """Return an object.  Raises StoreLost or StoreRefused."""

    @abstractmethod
    async def write(self, key: str, body: bytes, version: int) -> Stored | None:
        """Replace the object at `version`; None when it has another by now.

        Raises StoreLost when the outcome is not known, StoreRefused when
        nothing was written.
        """


class Head(Struct, frozen=True):
    """Hold what the head object says of the accepted text.

    It followed a head that was read in `incarnation` of the platform's store.
    """

    generation: int
    submission: str
    parts: tuple[str, ...]
    earlier: tuple[tuple[str, int], ...] = ()
    incarnation: int = 0

    def generation_of(self, submission: str) -> int | None:
        """Return the generation that a submission became, None if it did not."""
        if submission == self.submission:
            return self.generation
        return dict(self.earlier).get(submission)


@dataclass(frozen=True, slots=True)
class Accepted:
    """Tell that the text was accepted as `generation`."""

    generation: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Tell that another text was accepted first; nothing was changed."""

    generation: int
    differences: tuple[str, ...]
    remedy: str = 'merge these differences into your text and submit it again'


@dataclass(frozen=True, slots=True)
class Undecided:
    """Tell that nobody can say yet whether the text was accepted."""

    submission: str

    @property
    def remedy(self) -> str:
        """How to find out."""
        return f'run `bronzekeel submit --settle {self.submission}` when the platform answers'


Submitted = Accepted | Conflict | Undecided


class _StoreRestored(Exception):  # noqa: N818 (told apart here alone)
    """Tell that an update took effect in another incarnation than its head was read in."""


async def read_head(store: ObjectStore) -> tuple[int, Head | None]:
    """Return the head object's version and content."""
    stored = await store.read(HEAD_KEY)
    return stored.version, _decode_head(stored)


def _decode_head(stored: Stored) -> Head | None:
    return decode(stored.body, type=Head) if stored.version else None


def _next_generation(stored: Stored, *, after_restore: bool) -> int:
    """Return a generation beyond all that were ever given out.

    An update that met a restored store may have replaced heads that nobody read: it skips once
    more.
    """
    head = _decode_head(stored)
    generation, incarnation = (head.generation, head.incarnation) if head else (0, 0)
    restores = stored.incarnation - max(incarnation, _FIRST_INCARNATION)
    skips = max(restores, 0) + after_restore
    return generation + 1 + skips * MAX_LOST_GENERATIONS


async def load_text(store: ObjectStore, head: Head) -> bytes:
    """Return the text that a head names, put together from its parts.

    Raises StoreRefused when a part is missing or is not what its name says.
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

    Parts are written first under the hash of their content, then one
    conditional update of the head makes them the accepted text: nobody ever
    sees half.  `based_on` is the generation that the operator edited, None
    for whatever is in force.  Raises TextError, StoreRefused, and StoreLost
    when the platform was lost before anything could have been accepted.
    """
    try:
        return await _submit_once(store, body, submission, based_on)
    except _StoreRestored:
        return await _resubmit(store, body, submission)


async def _resubmit(store: ObjectStore, body: bytes, submission: str) -> Submitted:
    """Submit over a head that was written by the same submission and is not the newest."""
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
    # A head of our own was written over a restored store, which may have lost its parts.
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
    """Make `new_head` the head, and find out what became of it.

    A conditional update whose answer was lost may have won, have lost, or
    still be under way.  The head read back tells the first two apart by the
    submission's id; while it is unchanged the same update is sent again, which
    is harmless, since only one of the copies can find the old version.

    Raises _StoreRestored: the condition is on a number that a restore gives out again, so the
    update may have found another head than the one that was read.
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
    """Return what the head says of a submission, None while it says nothing."""
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
    """Return what a head alone says of the submission of another, None while it says nothing."""
    if head.submission == new_head.submission:
        _check_incarnation(new_head, stored)
    generation = head.generation_of(new_head.submission)
    if generation is not None:
        return Accepted(generation)
    if head.generation - new_head.generation >= MAX_EARLIER_IDS:
        return Undecided(new_head.submission)
    return None


def _check_incarnation(new_head: Head, stored: Stored) -> None:
    """Raise _StoreRestored if a head stands in another incarnation than it was made for."""
    if stored.incarnation != new_head.incarnation:
        raise _StoreRestored


def _earlier_ids(head: Head | None) -> tuple[tuple[str, int], ...]:
    if head is None:
        return ()
    ids = (*head.earlier, (head.submission, head.generation))
    return ids[-MAX_EARLIER_IDS:]


async def _write_part(store: ObjectStore, part: bytes) -> str:
    """Write a part under its hash; one that is there already is the same."""
    name = sha256(part).hexdigest()
    await store.write(PART_KEY + name, part, 0)
    return name


async def settle(store: ObjectStore, submission: str) -> Accepted | Undecided:
    """Find out later what became of a submission whose outcome was unknown.

    Raises StoreLost or StoreRefused when the platform does not answer.
    """
    _, head = await read_head(store)
    generation = head.generation_of(submission) if head else None
    if generation is None:
        return Undecided(submission)
    return Accepted(generation)
