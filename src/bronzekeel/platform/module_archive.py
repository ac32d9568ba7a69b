"""Load the modules of a start from one file.

What goes wrong without it: a hundred modules are searched for, opened and read one by one, 1,500
system calls on a host with a fifth of a core, and callers wait meanwhile.  The build writes the
file.  Without it, or with one that another interpreter wrote, modules are imported from where
they are.
"""

import sys
from _frozen_importlib import ModuleSpec
from _frozen_importlib_external import ExtensionFileLoader
from marshal import loads as decode_code


#: Name of the archive in the folder of the package.  The build replaces the folder whole, so no
#: archive of former modules stays.
ARCHIVE_NAME = 'start.modules'

#: Of one module: its code, empty if a library of the interpreter's is loaded; its file; the folder
#: of a package, empty of others.  Files and folders of this deployment count from the folder that
#: holds the package.
ArchivedModule = tuple[bytes, str, str]

#: What a missing, cut or foreign file ends with.
_UNREADABLE = (OSError, EOFError, TypeError, ValueError)


class ArchiveImporter:
    """Find and load the modules of an archive, before any other finder is asked."""

    def __init__(self, archived_by_name: dict[str, ArchivedModule], root: str) -> None:
        """Offer these modules; `root` is the folder that holds the package."""
        self._archived_by_name = archived_by_name
        self._root = root

    def find_spec(self, name: str, path: object = None, target: object = None) -> ModuleSpec | None:
        """Return how a module is loaded, None if the archive does not hold it."""
        archived = self._archived_by_name.get(name)
        if archived is None:
            return None
        code, file_name, folder = archived
        origin = self._whole(file_name)
        loader = self if code else ExtensionFileLoader(name, origin)
        found = ModuleSpec(name, loader, origin=origin)  # type: ignore[arg-type]
        if folder:
            found.submodule_search_locations = [self._whole(folder)]
        return found

    def create_module(self, spec: ModuleSpec) -> None:
        """Leave it to the interpreter to make the module."""

    def exec_module(self, module: object) -> None:
        """Run a module's code in its namespace.

        Its file is set here: the interpreter would reckon the name of its cached code too.
        """
        namespace = vars(module)  # noqa: WPS421 (a loader has to do this)
        code, file_name, _ = self._archived_by_name[namespace['__name__']]
        namespace['__file__'] = self._whole(file_name)
        exec(decode_code(code), namespace)  # noqa: S102, WPS421 (likewise)

    def _whole(self, path: str) -> str:
        return path if path.startswith('/') else f'{self._root}/{path}'


def use_archive() -> bool:
    """Load modules from the archive of this package from now on; return whether there is one."""
    folder = __file__.rpartition('/platform/')[0]
    archived_by_name = read_archive(f'{folder}/{ARCHIVE_NAME}')
    if archived_by_name is None:
        return False
    root = folder.rpartition('/')[0]
    sys.meta_path.insert(0, ArchiveImporter(archived_by_name, root))
    return True


def read_archive(path: str) -> dict[str, ArchivedModule] | None:
    """Return the modules of an archive by name, None without one that this interpreter wrote."""
    try:
        with open(path, 'rb', buffering=0) as archive:
            interpreter, archived_by_name = decode_code(archive.read())
    except _UNREADABLE:
        return None
    if interpreter != interpreter_tag():
        return None
    return archived_by_name


def interpreter_tag() -> str:
    """Return what tells the interpreter that can run an archive's code from all others."""
    return f'{sys.version} {sys.prefix}'
