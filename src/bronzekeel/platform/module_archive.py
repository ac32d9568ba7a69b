"""Load the modules of a start from one file.

Without this, a start searches for, opens and reads a hundred modules one by one.  That takes 1,500
system calls, on a host with a fifth of a core, and callers wait in the meantime.  The build writes
the file.  If it is missing, or another interpreter wrote it, modules are imported from their own
files.
"""

import sys
from _frozen_importlib import ModuleSpec
from _frozen_importlib_external import ExtensionFileLoader
from marshal import loads as decode_code


#: Name of the archive in the package's folder.  The build replaces the whole folder, so that no
#: archive of previous modules remains.
ARCHIVE_NAME = 'start.modules'

#: Code, file and folder of a module.  The code is empty for an extension module, the folder for a
#: module that is not a package.  Paths below the folder that holds this package are relative to it.
ArchivedModule = tuple[bytes, str, str]

#: What reading a missing, truncated or foreign file raises.
_UNREADABLE = (OSError, EOFError, TypeError, ValueError)


class ArchiveImporter:
    """Find and load the modules of an archive, ahead of all other finders."""

    def __init__(self, archived_by_name: dict[str, ArchivedModule], root: str) -> None:
        """Import these modules; `root` is the folder that holds the package."""
        self._archived_by_name = archived_by_name
        self._root = root

    def find_spec(self, name: str, path: object = None, target: object = None) -> ModuleSpec | None:
        """Return the spec of a module, None if the archive does not hold it."""
        archived = self._archived_by_name.get(name)
        if archived is None:
            return None
        code, file_name, folder = archived
        origin = self._absolute_path(file_name)
        loader = self if code else ExtensionFileLoader(name, origin)
        found = ModuleSpec(name, loader, origin=origin)  # type: ignore[arg-type]
        if folder:
            found.submodule_search_locations = [self._absolute_path(folder)]
        return found

    def create_module(self, spec: ModuleSpec) -> None:
        """Return None, so that the interpreter creates the module."""

    def exec_module(self, module: object) -> None:
        """Run a module's code in its namespace.

        ``__file__`` is set here because the interpreter, if it set it, would also compute the path
        of the cached bytecode.
        """
        namespace = vars(module)  # noqa: WPS421 (as a loader must)
        code, file_name, _ = self._archived_by_name[namespace['__name__']]
        namespace['__file__'] = self._absolute_path(file_name)
        exec(decode_code(code), namespace)  # noqa: S102, WPS421 (likewise)

    def _absolute_path(self, path: str) -> str:
        return path if path.startswith('/') else f'{self._root}/{path}'


def use_archive() -> bool:
    """Import modules from the archive of this package; return whether it is usable."""
    folder = __file__.rpartition('/platform/')[0]
    archived_by_name = read_archive(f'{folder}/{ARCHIVE_NAME}')
    if archived_by_name is None:
        return False
    root = folder.rpartition('/')[0]
    sys.meta_path.insert(0, ArchiveImporter(archived_by_name, root))
    return True


def read_archive(path: str) -> dict[str, ArchivedModule] | None:
    """Return the modules of an archive by name, None unless this interpreter wrote one there."""
    try:
        with open(path, 'rb', buffering=0) as archive:
            interpreter, archived_by_name = decode_code(archive.read())
    except _UNREADABLE:
        return None
    if interpreter != interpreter_tag():
        return None
    return archived_by_name


def interpreter_tag() -> str:
    """Return what identifies the interpreter that can run the code of an archive."""
    return f'{sys.version} {sys.prefix}'
