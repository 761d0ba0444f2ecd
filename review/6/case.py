"""A bad client uses the ids of open requests: are the usual clients' messages still delivered?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st  # noqa: E402

DOCUMENTS = 40
EVERY_S = 0.1  # between two documents of the usual clients
ATTACKED = 4  # the id of each fourth is used by the bad client, while the request is open
GAP_S = 0.08  # a usual client's message comes in two pieces, so far apart
TIME_MS = 6000
DESTINATION, OTHER = 1, 2


def request(kind: str, doc_id: str, destination: int, body: bytes) -> bytes:
    """Returns a request with a document."""
    head = (
        f"POST /{kind} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {doc_id}\r\n"
        f"Request-Timeout-Ms: {TIME_MS}\r\nContent-Length: {len(body)}\r\n"
        f"X-Consignee: dest={destination}\r\n\r\n"
    )
    return head.encode() + body


async def usual(world: st.World, doc_id: str, kind: str, body: bytes) -> None:
    """Hands a document in, in two pieces; the second one begins in the body."""
    data = request(kind, doc_id, DESTINATION, body)
    reader, writer = await asyncio.open_connection(st.HOST, world.listen)
    try:
        sent = world.record.line(f"usual client: {doc_id} {kind} dest={DESTINATION}, {len(body)} bytes")
        writer.write(data[: -len(body) // 2])
        await asyncio.sleep(GAP_S)
        writer.write(data[-len(body) // 2 :])
        async with asyncio.timeout(st.ANSWER_S - GAP_S):
            status = int((await reader.readline()).split()[1])
    except (TimeoutError, OSError, IndexError) as problem:
        world.record.line(f"usual client: {doc_id} got no answer: {problem!r}")
        return
    finally:
        writer.close()
    world.record.line(f"usual client: {doc_id} answered {status}")
    if status in (200, 202):
        world.taken[doc_id] = sent + TIME_MS / 1000.0


async def bad(world: st.World, doc_id: str) -> None:
    """Uses the id of another client's open request."""
    await asyncio.sleep(GAP_S / 2.0)
    world.record.line(f"bad client: {doc_id} recipe-sync dest={OTHER}")
    data = request("recipe-sync", doc_id, OTHER, b"of the bad client")
    status = await st.http(world.listen, data, st.ANSWER_S)
    world.record.line(f"bad client: {doc_id} answered {status}")


async def case(world: st.World) -> list[str]:
    """Plays the case."""
    await world.open(DESTINATION, OTHER)
    await world.start("only")
    bodies: dict[str, bytes] = {}
    tasks = []
    for number in range(DOCUMENTS):
        doc_id = f"{number:04d}9b1f03aa5c7e"
        bodies[doc_id] = f"the document {number} of a usual client".encode() * 4
        kind = "basket-order" if number // ATTACKED % 2 else "recipe-sync"
        tasks.append(asyncio.create_task(usual(world, doc_id, kind, bodies[doc_id])))
        if st.TROUBLE and number % ATTACKED == 0:
            tasks.append(asyncio.create_task(bad(world, doc_id)))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(TIME_MS / 1000.0 + 1.0)
    if len(world.taken) < DOCUMENTS // 2:
        raise st.CannotRunError(f"only {len(world.taken)} documents were taken on")
    broken = []
    own, other = world.endpoints
    for doc_id, up in world.taken.items():
        ended = world.agent.notices[doc_id][0] if doc_id in world.agent.notices else float("inf")
        if own.bodies.get(doc_id) == bodies[doc_id]:
            ended = min(ended, own.delivered.get(doc_id, float("inf")))
        if ended > up + st.GRACE_S:
            found = [
                each.uid for each in (own, other) if each.bodies.get(doc_id, b"") not in (b"", bodies[doc_id])
            ]
            broken.append(f"{doc_id} was taken on, its body came nowhere, no notice; another body at {found}")
    return broken


st.main(case, __file__)
