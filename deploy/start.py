"""Start a balancer on the platform.

A script and not ``python3 -m``: that imports ``runpy`` and what it needs, a
fifth of the processor time of a start.
"""

import sys

from bronzekeel.platform.start import main


if __name__ == '__main__':
    sys.exit(main())
