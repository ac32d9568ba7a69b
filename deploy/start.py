"""Start a balancer on the platform.

This is a script because ``python3 -m`` imports ``runpy`` and its dependencies, which takes a fifth
of the processor time of a start.  Garbage collection is disabled while modules are imported: they
create no garbage, and searching for it takes a tenth of the processor time of a start.
"""

import gc
import sys


gc.disable()

from bronzekeel.entry.early_port import bind_early  # noqa: E402 (after collection is disabled)


early = bind_early(sys.argv)

from bronzekeel.platform.module_archive import use_archive  # noqa: E402 (after the port is bound)


use_archive()

from bronzekeel.platform.start import main  # noqa: E402 (loaded from the archive)


if __name__ == '__main__':
    sys.exit(main(early))
