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

#: Imports what a start imports.  Prints whether the archive is used, which modules were loaded from
#: source files, and whether an extension module of an archived package works.
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
    """A start loads its modules from one file instead of a hundred."""

    def test_archive_holds_all_modules_of_a_start(self) -> None:
        """Guards against a build that leaves a module of a start out of the archive."""
        lines = run(_output_of_start(_write_archive))
        self.assertEqual(['True', '[]'], lines[:2])
        self.assertTrue(lines[2].endswith('/bronzekeel/entry/daemon.py'))
        self.assertEqual('HttpRequestParser', lines[3])

    def test_start_without_archive_uses_source_files(self) -> None:
        """Guards against hosts that fail to start if the build wrote no archive."""
        lines = run(_output_of_start(_write_nothing))
        self.assertEqual('False', lines[0])
        self.assertIn('bronzekeel.entry.daemon', lines[1])
        self.assertEqual('HttpRequestParser', lines[3])

    def test_start_does_not_import_typing(self) -> None:
        """Guards against spending a tenth of a start on names that only type checkers read."""
        typing_of_start = run(_output_of_start(_write_archive))[-2]
        self.assertTrue(typing_of_start.endswith('/platform/annotation_names.py'))

    def test_other_typing_names_come_from_the_library(self) -> None:
        """Guards against a later import that fails because a name of ``typing`` is missing."""
        cast_and_file = run(_output_of_start(_write_archive))[-1]
        self.assertTrue(cast_and_file.startswith('5 '))
        self.assertTrue(cast_and_file.endswith('/typing.py'))

    def test_archive_of_another_interpreter_is_ignored(self) -> None:
        """Guards against running code that was compiled for another interpreter."""
        self.assertIsNone(_read(encode_code(('3.10 elsewhere', {}))))
        self.assertEqual({}, _read(encode_code((interpreter_tag(), {}))))

    def test_damaged_archive_is_ignored(self) -> None:
        """Guards against hosts that fail to start if the archive is truncated."""
        encoded = encode_code((interpreter_tag(), {'a': (b'code', 'a.py', '')}))
        self.assertIsNone(_read(encoded[:-4]))
        self.assertIsNone(_read(b''))
        self.assertIsNone(_read(encode_code(5)))

    def test_build_removes_the_previous_archive(self) -> None:
        """Guards against an archive of previous modules that remains after a build."""
        text = Path(_ROOT, 'deploy', 'system.toml').read_text(encoding='utf-8')
        steps = decode_toml(text)['build'].split(' && ')
        removal = steps.index('rm -rf target/deps/bronzekeel')
        self.assertEqual('cp -r src/bronzekeel target/deps/', steps[removal + 1])
        self.assertIn('deploy/archive_modules.py', steps[-1])


def _read(encoded: bytes) -> object:
    with TemporaryDirectory() as folder:
        path = Path(folder, ARCHIVE_NAME)
        path.write_bytes(encoded)
        return read_archive(str(path))


async def _write_archive(folder: Path) -> None:
    await _output_of(folder, str(_WRITER))


async def _write_nothing(folder: Path) -> None:
    """Write no archive."""


async def _output_of_start(prepare: Callable[[Path], Awaitable[None]]) -> list[str]:
    with TemporaryDirectory() as folder:
        copytree(
            _ROOT / 'src' / 'bronzekeel',
            Path(folder, 'bronzekeel'),
            ignore=ignore_patterns('__pycache__', ARCHIVE_NAME),
        )
        await prepare(Path(folder))
        return (await _output_of(Path(folder), '-c', _START_CODE)).splitlines()


async def _output_of(folder: Path, *arguments: str) -> str:
    """Return the output of an interpreter without ``site`` that imports from `folder`."""
    libraries = [path for path in module_path if path.endswith('site-packages')]
    process = await create_subprocess_exec(
        executable,
        '-S',
        *arguments,
        stdout=PIPE,
        env={**environ, 'PYTHONPATH': pathsep.join((str(folder), *libraries))},
    )
    output, _ = await process.communicate()
    return output.decode().strip()
