"""Write the archive that ``deploy/start.py`` loads its modules from; a step of the build.

It runs without ``site``, as the start does, and archives what the imports of a start bring in.
A start needs none of ``typing`` but a few names.
"""

import sys


known = frozenset(sys.modules)

from bronzekeel.platform import annotation_names  # noqa: E402 (what is known is noted before)


sys.modules['typing'] = annotation_names

import bronzekeel.entry.daemon  # noqa: E402, F401 (what is known is noted before)
import bronzekeel.platform.objects  # noqa: E402, F401 (likewise)
import bronzekeel.platform.packets  # noqa: E402, F401 (likewise)
import bronzekeel.platform.start  # noqa: E402, F401 (likewise)


module_by_name = {name: sys.modules[name] for name in frozenset(sys.modules) - known}
sys.modules.pop('typing')

from pathlib import Path  # noqa: E402 (a start does not need it)

from bronzekeel.platform.archive_writer import write_archive  # noqa: E402 (likewise)


if __name__ == '__main__':
    write_archive(Path(bronzekeel.__file__).parent, module_by_name)
