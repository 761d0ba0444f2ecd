"""python -m birchstack.adapter: speaks the wire on standard input and output until the input ends."""

import sys

from birchstack.adapter.wire import WireError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as problem:
        print(f"birchstack.adapter: {problem}", file=sys.stderr)
        sys.exit(2)
