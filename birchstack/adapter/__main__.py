"""python -m birchstack.adapter: serves the simulator's wire on standard input and output."""

import sys

from birchstack.adapter.wire import WireError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as problem:
        print(f"birchstack.adapter: {problem}", file=sys.stderr)
        sys.exit(2)
