"""Test the archive that a start loads its modules from."""

from asyncio import create_subprocess_exec, run
from asyncio.subprocess import PIPE
from collections.abc import Awaitable, Callable
from marshal import dumps as encode_code
from os import environ, pathsep
from pathlib import Path
from shutil import copytree, ignore_patterns
from sys import executable
from sys import path as module_path
from tempfile import TemporaryDirectory
from tomllib import loads as decode_toml
from unittest import TestCase

from bronzekeel.platform.module_archive import ARCHIVE_NAME, interpreter_tag, read_archive


_ROOT = Path(__file__).resolve().parent.parent
_WRITER = _ROOT / 'deploy' / 'archive_modules.py'

#: Imports what a start imports; tells whether the archive is used, what was found outside of it,
#: and whether a library of a package in it works.
_START_CODE = """
import sys
known = frozenset(sys.modules)
from bronzekeel.platform.module_archive import use_archive
before = frozenset(sys.modules)
print(use_archive())
import bronzekeel.platform.start, bronzekeel.entry.daemon
import bronzekeel.platform.objects, bronzekeel.platform.packets
def is_outside(name):
    spec = getattr(sys.modules[name], '__spec__', None)
    kind = type(spec.loader).__name__ if spec else ''
    return kind == 'SourceFileLoader'
print([name for name in sys.modules if name not in before and is_outside(name)])
print(bronzekeel.entry.daemon.__file__)
print(sys.modules['httptools'].HttpRequestParser.__name__)
print('typing' in sys.modules and sys.modules['typing'].__file__)
from typing import cast
print(cast(int, 5), sys.modules['typing'].__file__)
"""


class ArchiveTest(TestCase):
    """One file in place of a hundred."""

    def test_archive_holds_all_modules_of_a_start(self) -> None:
        """Guards against a module of a start that the build leaves out of the archive."""
        told = run(_started(_archived))
        self.assertEqual(['True', '[]'], told[:2])
        self.assertTrue(told[2].endswith('/bronzekeel/entry/daemon.py'))
        self.assertEqual('HttpRequestParser', told[3])

    def test_start_without_archive_uses_source_files(self) -> None:
        """Guards against hosts that do not start when the build wrote no archive."""
        told = run(_started(_nothing))
        self.assertEqual('False', told[0])
        self.assertIn('bronzekeel.entry.daemon', told[1])
        self.assertEqual('HttpRequestParser', told[3])

    def test_start_does_not_import_typing(self) -> None:
        """Guards against a tenth of a start that is spent on names that only checkers read."""
        typing_of_start = run(_started(_archived))[-2]
        self.assertTrue(typing_of_start.endswith('/platform/annotation_names.py'))

    def test_other_typing_names_come_from_the_library(self) -> None:
        """Guards against a late import that finds a name of ``typing`` missing."""
        cast_and_file = run(_started(_archived))[-1]
        self.assertTrue(cast_and_file.startswith('5 '))
        self.assertTrue(cast_and_file.endswith('/typing.py'))

    def test_archive_of_another_interpreter_is_ignored(self) -> None:
        """Guards against code that a newer interpreter cannot run."""
        self.assertIsNone(_read(encode_code(('3.10 elsewhere', {}))))
        self.assertEqual({}, _read(encode_code((interpreter_tag(), {}))))

    def test_damaged_archive_is_ignored(self) -> None:
        """Guards against hosts that do not start when the archive was cut short."""
        whole = encode_code((interpreter_tag(), {'a': (b'code', 'a.py', '')}))
        self.assertIsNone(_read(whole[:-4]))
        self.assertIsNone(_read(b''))
        self.assertIsNone(_read(encode_code(5)))

    def test_build_removes_the_previous_archive(self) -> None:
        """Guards against an archive of former modules that outlives them."""
        text = Path(_ROOT, 'deploy', 'system.toml').read_text(encoding='utf-8')
        steps = decode_toml(text)['build'].split(' && ')
        removal = steps.index('rm -rf target/deps/bronzekeel')
        self.assertEqual('cp -r src/bronzekeel target/deps/', steps[removal + 1])
        self.assertIn('deploy/archive_modules.py', steps[-1])


def _read(written: bytes) -> object:
    with TemporaryDirectory() as folder:
        path = Path(folder, ARCHIVE_NAME)
        path.write_bytes(written)
        return read_archive(str(path))


async def _archived(folder: Path) -> None:
    await _output_of(folder, str(_WRITER))


async def _nothing(folder: Path) -> None:
    """Write no archive."""


async def _started(prepare: Callable[[Path], Awaitable[None]]) -> list[str]:
    with TemporaryDirectory() as folder:
        copytree(
            _ROOT / 'src' / 'bronzekeel',
            Path(folder, 'bronzekeel'),
            ignore=ignore_patterns('__pycache__', ARCHIVE_NAME),
        )
        await prepare(Path(folder))
        return (await _output_of(Path(folder), '-c', _START_CODE)).splitlines()


async def _output_of(folder: Path, *arguments: str) -> str:
    """Return what an interpreter without ``site`` writes; our modules are in `folder`."""
    others = [found for found in module_path if found.endswith('site-packages')]
    process = await create_subprocess_exec(
        executable,
        '-S',
        *arguments,
        stdout=PIPE,
        env={**environ, 'PYTHONPATH': pathsep.join((str(folder), *others))},
    )
    written, _ = await process.communicate()
    return written.decode().strip()
