"""Start a balancer on the platform.

A script and not ``python3 -m``: that imports ``runpy`` and what it needs, a
fifth of the processor time of a start.  Garbage is not collected while modules
are imported: nothing of them is garbage, and looking for it takes a tenth of
the processor time of a start.
"""

import gc
import sys


gc.disable()

from bronzekeel.entry.early_port import bind_early  # noqa: E402 (collection is off before it)


early = bind_early(sys.argv)

from bronzekeel.platform.module_archive import use_archive  # noqa: E402 (the port is bound before)


use_archive()

from bronzekeel.platform.start import main  # noqa: E402 (it comes from the archive)


if __name__ == '__main__':
    sys.exit(main(early))
