"""Write the archive from which ``deploy/start.py`` loads its modules; a step of the build.

The script runs without ``site``, as the start does, and archives the modules that the imports of a
start load.  A start needs only a few names of ``typing``, which ``annotation_names`` replaces.
"""

import sys


known = frozenset(sys.modules)

from bronzekeel.platform import annotation_names  # noqa: E402 (after `known` is recorded)


sys.modules['typing'] = annotation_names

import bronzekeel.entry.daemon  # noqa: E402, F401 (after `known` is recorded)
import bronzekeel.platform.objects  # noqa: E402, F401 (likewise)
import bronzekeel.platform.packets  # noqa: E402, F401 (likewise)
import bronzekeel.platform.start  # noqa: E402, F401 (likewise)


module_by_name = {name: sys.modules[name] for name in frozenset(sys.modules) - known}
sys.modules.pop('typing')

from pathlib import Path  # noqa: E402 (not needed at a start, so not archived)

from bronzekeel.platform.archive_writer import write_archive  # noqa: E402 (likewise)


if __name__ == '__main__':
    write_archive(Path(bronzekeel.__file__).parent, module_by_name)
