"""Write the archive that a start loads its modules from."""

from collections.abc import Mapping
from importlib.machinery import ExtensionFileLoader, ModuleSpec, SourceFileLoader
from marshal import dumps as encode_code
from pathlib import Path
from types import ModuleType

from bronzekeel.platform.module_archive import ARCHIVE_NAME, ArchivedModule, interpreter_tag


#: Optimization level that strips docstrings from the code.
_OPTIMIZE = 2


def write_archive(folder: Path, module_by_name: Mapping[str, ModuleType]) -> list[str]:
    """Write the archive of the package in `folder`; return the names of the archived modules.

    Of the imported modules, it holds those that were loaded from files.
    """
    root = folder.resolve().parent
    archived_by_name: dict[str, ArchivedModule] = {}
    for name, module in sorted(module_by_name.items()):
        archived = _archived_module(getattr(module, '__spec__', None), root)
        if archived is not None:
            archived_by_name[name] = archived
    encoded = encode_code((interpreter_tag(), archived_by_name))
    Path(folder, ARCHIVE_NAME).write_bytes(encoded)
    return list(archived_by_name)


def _archived_module(spec: ModuleSpec | None, root: Path) -> ArchivedModule | None:
    if spec is None or spec.origin is None:
        return None
    folders = spec.submodule_search_locations
    folder = _archived_path(root, folders[0]) if folders else ''
    origin = _archived_path(root, spec.origin)
    if isinstance(spec.loader, ExtensionFileLoader):
        return b'', origin, folder
    if not isinstance(spec.loader, SourceFileLoader):
        return None
    source = spec.loader.get_data(spec.origin)
    code = spec.loader.source_to_code(source, origin, _optimize=_OPTIMIZE)
    return encode_code(code), origin, folder


def _archived_path(root: Path, path: str) -> str:
    """Return a path as the archive stores it: relative to `root` if below it, else absolute."""
    resolved = Path(path).resolve()
    return str(resolved.relative_to(root) if resolved.is_relative_to(root) else resolved)
