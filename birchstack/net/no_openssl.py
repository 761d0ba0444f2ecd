"""Keeps OpenSSL out of the process; to be imported before asyncio.

The sender speaks no TLS, and the standard library has its own code for the digests that the sender uses. The
import of OpenSSL would take 4 MB of the memory of each process, of 32 MB where the limit is lowest.
"""

import sys

MODULES = ("ssl", "_hashlib")  # asyncio and hashlib do without them, as in a Python built without OpenSSL

for name in MODULES:
    sys.modules.setdefault(name, None)
