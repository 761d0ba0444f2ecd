"""What the audit of the fleet costs, on this machine: three measurements, each by its name.

    python -m benchmarks.fleet_cost trail [--pairs N] [--documents N]     a sender's CPU, trail on against off
    python -m benchmarks.fleet_cost keeper [--senders N] [--seconds S]    one keeper and many real senders
    python -m benchmarks.fleet_cost questions [--records N]               answers from a large store

Real processes on loopback; endpoints and clients are stand-ins in this process.
"""

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from pathlib import Path

from birchstack.emulator.rig import site
from birchstack.emulator.rig.processes import shell
from birchstack.emulator.rig.real import CLIENT_PORT, Rig
from birchstack.fleet import wire
from birchstack.fleet.records import INITIAL_CHAIN, ProcessStart, TurnActions, VersionAdopted, encode_frame
from birchstack.fleet.versions import LIST, Version
from birchstack.keeper.questions import Stores
from birchstack.keeper.store import Store


def cpu_s(pid):
    """Time on a processor, in seconds, as the scheduler counts it (nanoseconds, no ticks)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory_mb(pid):
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def documents(rig, name, many, first):
    """Hands documents in over eight connections that stay open, one after the other on each. Returns how long
    each took to be taken on, in milliseconds."""
    times = []

    async def client(numbers):
        reader, writer = await asyncio.open_connection(rig.place(name), CLIENT_PORT)
        for number in numbers:
            began = time.perf_counter()
            writer.write(
                (
                    f"POST /sync HTTP/1.1\r\nHost: api\r\nRequest-Id: {name}x{number}\r\n"
                    f"Request-Timeout-Ms: 8000\r\nX-Consignee: dest={1 + number % 2}\r\n"
                    "Content-Length: 200\r\n\r\n"
                ).encode()
                + bytes(200)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 202"), head
            times.append((time.perf_counter() - began) * 1000.0)
        writer.close()

    await asyncio.gather(*(client(range(first + at, first + many, 8)) for at in range(8)))
    return times


async def pairs(told):
    """Two senders side by side, one with its trail and one without, serve the same documents at the same
    time; which of them keeps it changes with every pair. CPU time for a document, in microseconds."""
    run = shell(".venv/bin/python", "-O", "-m", "birchstack")
    for at in range(told.pairs):
        with tempfile.TemporaryDirectory() as folder:
            async with Rig(Path(folder), 2, 0, 2, 2, None, run, 1) as rig:
                rig.endpoints.answer_ms = 1.0
                on, off = ("n1", "n2") if at % 2 else ("n2", "n1")
                await rig[on].kill()
                (Path(folder) / "fleet.toml").write_text(site.FLEET)
                rig[on].settings["BALANCER_FLEET"] = str(Path(folder) / "fleet.toml")
                await rig[on].start()
                await asyncio.gather(*(documents(rig, name, 500, 0) for name in (on, off)))
                before = {name: cpu_s(rig[name].process.pid) for name in (on, off)}
                times = await asyncio.gather(
                    *(documents(rig, name, told.documents, 1000) for name in (on, off))
                )
                await asyncio.sleep(0.3)
                spent = [
                    (cpu_s(rig[name].process.pid) - before[name]) / told.documents * 1e6 for name in (on, off)
                ]
                assert any(name.startswith("trail-") for name in os.listdir(rig.state(on)))
                assert not any(name.startswith("trail-") for name in os.listdir(rig.state(off)))
        yield *spent, *(statistics.mean(each) for each in times)


async def trail(told):
    got = []
    async for on, off, on_ms, off_ms in pairs(told):
        got.append((on, off, on_ms, off_ms))
        print(
            f"on {on:.1f}, off {off:.1f} us a document: {100.0 * (on / off - 1.0):+.1f} in 100; "
            f"taken on in {on_ms:.2f} and {off_ms:.2f} ms",
            flush=True,
        )
    shares = [100.0 * (on / off - 1.0) for on, off, *_ in got]
    slower = [100.0 * (on / off - 1.0) for *_, on, off in got]
    error = statistics.stdev(shares) / len(shares) ** 0.5 if len(shares) > 1 else 0.0
    print(
        f"time until taken on: {statistics.mean(slower):+.2f} in 100, median {statistics.median(slower):+.2f}"
    )
    print(
        f"off {statistics.mean(off for _, off, *_ in got):.0f} us a document; the trail costs "
        f"{statistics.mean(shares):+.2f} in 100 (standard error {error:.2f}, median "
        f"{statistics.median(shares):+.2f}, {len(shares)} pairs of {told.documents} documents)"
    )


def keeper(told):
    async def whole():
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(Path(folder), 0, 0, 4, 2, site.FLEET, None, 1, keeper={"every_s": 1.0})
            async with rig:
                began = time.monotonic()
                rig.senders = [f"n{at + 1}" for at in range(told.senders)]
                for at in range(0, told.senders, 16):
                    some = rig.senders[at : at + 16]
                    for name in some:
                        rig.add_sender(name)
                    await asyncio.gather(*(rig[name].start(within_s=60.0) for name in some))
                print(
                    f"{told.senders} senders ready after {time.monotonic() - began:.0f} s, together "
                    f"{sum(memory_mb(rig[name].process.pid) for name in rig.senders) / 1000.0:.1f} GB",
                    flush=True,
                )
                rig.load(told.per_second)
                rig.keepers = ["k1"]
                doors = {name: [f"{rig.place(name)}:7401"] for name in rig.senders}  # no link between
                rig.add_keeper("k1", doors)
                await rig["k1"].start("event=keeping")
                await asyncio.sleep(5.0)
                pid, ages, asked = rig["k1"].process.pid, [], []
                before, since, many = cpu_s(pid), time.monotonic(), told.seconds
                for _ in range(many * 4):
                    await asyncio.sleep(0.25)
                    rows = Stores([rig.store("k1")], rig.now_ms()).status()
                    ages += [each.age_ms for each in rows]
                    asked.append(sum(each.answered_ms < 1100.0 for each in rows))
                spent = (cpu_s(pid) - before) / (time.monotonic() - since)
                ages.sort()
                print(
                    f"doors answered within the last 1.1 s: least {min(asked)} of {told.senders}; keeper "
                    f"{spent * 100.0:.0f} in 100 of a core, {memory_mb(pid):.0f} MB; age of a sender's "
                    f"picture p50 {ages[len(ages) // 2]:.0f} ms, p99 {ages[len(ages) * 99 // 100]:.0f} ms, "
                    f"most {ages[-1]:.0f} ms"
                )
                calls = len(rig.endpoints.calls)
                await rig.quiet()
                await asyncio.sleep(2.5)
                stores = Stores([rig.store("k1")], rig.now_ms())
                known = sum(each.calls for each in stores.activity(1).stretches)
                print(
                    f"calls: {len(rig.endpoints.calls)} seen by endpoints ({calls} before the end), "
                    f"{known} in the store; store {os.path.getsize(rig.store('k1')) / 1e6:.1f} MB"
                )

    asyncio.run(whole())


def questions(told):
    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/s.sqlite"
        store, senders = Store(path), 100
        each = told.records // senders
        began, size = time.monotonic(), 0
        for number in range(1, 51):
            changes = {"e1": "leaving"} if number == 40 else {}
            store.add_published(
                Version(LIST, "x", "", number, f"{number:032x}"), "newer", changes, number * 1e4
            )
        for sender in range(senders):
            chain, at, frames, number = INITIAL_CHAIN, 0.0, [], 0
            records = [ProcessStart("l", f"n{sender}", "b", 0.0, 0.0)]
            for turn in range(each):
                at += 5e5 / each
                if turn % (each // 50) == 0:
                    many = turn // (each // 50) + 1
                    held = Version(LIST, "x", "", many, f"{many:032x}")
                    records.append(VersionAdopted(held, "newer", "x", at, at))
                records.append(TurnActions(at, (f"doc-{sender}-{turn}", f"e{turn % 20}")))
            for record in records:
                number += 1
                data, chain = encode_frame(number, chain, record)
                frames.append(data)
                size += len(data)
            for start in range(0, number, 1000):
                piece = wire.TrailResponse(
                    name=f"n{sender}",
                    process="p",
                    boot="b",
                    trail=f"t{sender}",
                    life="l",
                    wall_ms=at,
                    steady_ms=at,
                    last=number,
                    chain=chain,
                    frames=b"".join(frames[start : start + 1000]),
                )
                store.store_answer(f"d{sender}", piece, at, 1.0)
                store.commit()
        spent = time.monotonic() - began
        store.close()
        print(
            f"{told.records:,} records of {senders} senders taken in {spent:.0f} s "
            f"({told.records / spent:,.0f} a second, with building them), {size / told.records:.0f} bytes "
            f"a record on the senders, store {os.path.getsize(path) / 1e6:.0f} MB"
        )
        stores = Stores([path], 5e5)
        for name, ask in (
            ("acted --list 25", lambda: len(stores.activity(25).stretches)),
            ("acted --list 25 --late", lambda: len(stores.late_calls(25).calls)),
            ("document", lambda: len(stores.document_calls("doc-50-77").calls)),
            ("after --endpoint e1 --out-at 40", lambda: len(stores.calls_after_removal("e1", 40).calls)),
            ("status", lambda: len(stores.status())),
            ("findings", lambda: len(stores.findings())),
        ):
            times = []
            for _ in range(5):
                began = time.perf_counter()
                many = ask()
                times.append(time.perf_counter() - began)
            print(
                f"{name}: {many} rows, {statistics.median(times) * 1000.0:.1f} ms (first "
                f"{times[0] * 1000.0:.1f} ms)"
            )
    head = VersionAdopted(
        Version(LIST, "127.0.0.1:8500", "", 41, "0" * 32), "newer", "127.0.0.1:8500", 1e12, 1e6
    )
    print(
        f"an adoption: {len(encode_frame(1, INITIAL_CHAIN, head)[0])} bytes; a turn with one call: "
        f"{len(encode_frame(1, INITIAL_CHAIN, TurnActions(1e6, ('9b1f03aa5c7e2d41', 's-5be2a07c')))[0])} "
        "bytes"
    )


def main():
    told = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    told.add_argument("what", choices=("trail", "keeper", "questions"))
    told.add_argument("--pairs", type=int, default=10)
    told.add_argument("--documents", type=int, default=4000)
    told.add_argument("--senders", type=int, default=300)
    told.add_argument("--seconds", type=int, default=20)
    told.add_argument("--per-second", type=float, default=200.0)
    told.add_argument("--records", type=int, default=1_000_000)
    told = told.parse_args()
    if told.what == "trail":
        asyncio.run(trail(told))
    else:
        {"keeper": keeper, "questions": questions}[told.what](told)


if __name__ == "__main__":
    main()
