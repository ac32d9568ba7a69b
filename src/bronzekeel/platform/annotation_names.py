"""Replace ``typing`` at start with stubs, since a running program does not use its names.

Without this, importing ``typing`` takes a tenth of the processor time of a start, only to provide
names that type checkers read.  The start archive holds this module under the name ``typing``.
Names that are not defined here come from the standard library's module.
"""


class Any:
    """Stub for any type."""


class _Subscriptable:
    """Accept types in brackets and return the class unchanged."""

    def __class_getitem__(cls, types: object) -> type:
        return cls


class Generic(_Subscriptable):
    """Stub base of generic classes."""


class Protocol(_Subscriptable):
    """Stub base of protocol classes."""


class ClassVar(_Subscriptable):
    """Stub that marks a class attribute."""


class Optional(_Subscriptable):
    """Stub for a type or None."""


def TypeVar(name: str, *constraints: object, **options: object) -> str:  # noqa: N802 (as in typing)
    """Return a stub of a type variable."""
    return name


def __getattr__(name: str) -> object:  # noqa: WPS413 (the only hook for attributes of a module)
    """Return any other name of ``typing``; the interpreter itself looks some of them up."""
    if name.startswith('__'):
        raise AttributeError(name)
    return getattr(_load_typing(), name)


def _load_typing() -> object:
    """Load the standard library's module from its source file."""
    import sys
    from importlib.machinery import PathFinder
    from importlib.util import module_from_spec

    spec = PathFinder.find_spec('typing')
    if spec is None or spec.loader is None:
        raise AttributeError('typing')
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    sys.modules['typing'] = module
    return module
