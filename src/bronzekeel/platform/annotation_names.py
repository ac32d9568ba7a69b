"""Stand in for ``typing`` in a start: its names say nothing to a program that runs.

What goes wrong without it: importing ``typing`` is a tenth of a start's processor time, all of it
for names that only checkers of types read.  The archive of a start holds this module under that
name.  Whatever else is asked for is answered by the standard library's own.
"""


class Any:
    """Stand for any type."""


class _Subscribed:
    """Take types in brackets and be what it is without them."""

    def __class_getitem__(cls, types: object) -> type:
        return cls


class Generic(_Subscribed):
    """Be the base of classes that name types in brackets."""


class Protocol(_Subscribed):
    """Be the base of classes that describe others."""


class ClassVar(_Subscribed):
    """Mark an attribute of a class."""


class Optional(_Subscribed):
    """Stand for a type or none."""


def TypeVar(name: str, *bounds: object, **limits: object) -> str:  # noqa: N802 (as in typing)
    """Return what stands for a type that varies."""
    return name


def __getattr__(name: str) -> object:  # noqa: WPS413 (the way to answer for a module)
    """Return any other name of ``typing``; the interpreter asks for some of its own."""
    if name.startswith('__'):
        raise AttributeError(name)
    return getattr(_whole_typing(), name)


def _whole_typing() -> object:
    """Load the standard library's module from its own file."""
    import sys
    from importlib.machinery import PathFinder
    from importlib.util import module_from_spec

    spec = PathFinder.find_spec('typing')
    if spec is None or spec.loader is None:
        raise AttributeError('typing')
    whole = module_from_spec(spec)
    spec.loader.exec_module(whole)
    sys.modules['typing'] = whole
    return whole
