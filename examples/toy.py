"""A toy surrounding for one sender: two endpoints of destination 1, and the platform.

    python examples/toy.py          endpoints on 127.0.0.1:9001 and 9002, the platform on 127.0.0.1:9000

Every fifth call at the second endpoint is answered 500, so that repeats and notices can be seen.
"""

import asyncio
import json

ENDPOINTS = {"toy-1": 9001, "toy-2": 9002}


async def message(reader):
    """First line, fields and body; None at the end."""
    try:
        first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        return first, fields, await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def endpoint(name):
    calls = 0

    async def serve(reader, writer):
        nonlocal calls
        while (came := await message(reader)) is not None:
            calls += 1
            status = 500 if name == "toy-2" and calls % 5 == 0 else 200
            print(f"{name}: {came[1].get('request-id')} {came[2]!r} -> {status}", flush=True)
            await asyncio.sleep(0.1)
            writer.write(f"HTTP/1.1 {status} Toy\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    return serve


async def platform(reader, writer):
    while (came := await message(reader)) is not None:
        if came[0].startswith("POST /v1/notices"):
            print(f"notice: {came[2].decode().strip()}", flush=True)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            continue
        targets = [
            {
                "uid": name,
                "endpoint": f"127.0.0.1:{port}",
                "az": "a",
                "model": "shop",
                "pod_group": 1,
                "state": "active",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for name, port in ENDPOINTS.items()
        ]
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps({"rev": 1, "all": True, "targets": targets}).encode() + b"\n"
        while not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await asyncio.sleep(2.0)
            line = b"\n"


async def main():
    for name, port in ENDPOINTS.items():
        await asyncio.start_server(endpoint(name), "127.0.0.1", port)
    server = await asyncio.start_server(platform, "127.0.0.1", 9000)
    print("the toy platform is on 127.0.0.1:9000", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
