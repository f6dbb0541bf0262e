"""Measures what a call between two VMs costs, in two processes on loopback.

Prints the latency of calls one after the other, the rate of calls side by side, the processor time
of each process for a call, and the memory of each process.
"""

import asyncio
import multiprocessing
import resource
import statistics
import time
from datetime import timedelta
from multiprocessing.connection import Connection

import uvloop

from hornbeamramp import messages
from hornbeamramp.rpc import PeerClient, PeerServer
from hornbeamramp.states import JobState, Step

CALLS = 5_000
CONCURRENCY = 50
TIMEOUT = timedelta(seconds=5)


def processor_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def serve(pipe: Connection) -> None:
    """Serves calls until told to stop; sends the port, then processor time and memory."""

    async def handle(request: messages.GetJobRequest) -> messages.GetJobReply:
        return messages.GetJobReply(JobState.RUNNING)

    async def main() -> None:
        server = PeerServer("127.0.0.1:0", "vm-1", "gebze")
        server.handle(messages.GetJobRequest, handle)
        await server.start()
        pipe.send(server.port)
        while (await asyncio.to_thread(pipe.recv)) == "usage":
            pipe.send((processor_s(), resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024))
        await server.stop(timedelta(0))

    uvloop.run(main())


async def call(port: int, pipe: Connection) -> None:
    client = PeerClient("vm-2", "tuzla")

    async def call_once() -> float:
        began = time.perf_counter()
        request = messages.GetJobRequest("tickets@gebze", "job-1")
        await client.call(f"127.0.0.1:{port}", request, TIMEOUT, Step.ANSWER)
        return time.perf_counter() - began

    def usage() -> tuple[float, float, float]:
        pipe.send("usage")
        server_s, server_mb = pipe.recv()
        return processor_s(), server_s, server_mb

    async def call_often(count: int) -> list[float]:
        return [await call_once() for _ in range(count)]

    await call_often(200)
    for concurrency in (1, CONCURRENCY):
        client_s, server_s, _ = usage()
        began = time.perf_counter()
        each = CALLS // concurrency
        lots = await asyncio.gather(*(call_often(each) for _ in range(concurrency)))
        taken_s = time.perf_counter() - began
        latencies = sorted(latency for lot in lots for latency in lot)
        client_after_s, server_after_s, server_mb = usage()
        print(
            f"{concurrency:3} at a time: {len(latencies) / taken_s:7.0f} calls/s,"
            f" median {statistics.median(latencies) * 1000:.2f} ms,"
            f" 99% {latencies[int(len(latencies) * 0.99)] * 1000:.2f} ms, processor"
            f" client {(client_after_s - client_s) / len(latencies) * 1e6:.0f} us,"
            f" server {(server_after_s - server_s) / len(latencies) * 1e6:.0f} us a call"
        )
    client_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak memory client {client_mb:.0f} MiB, server {server_mb:.0f} MiB")
    pipe.send("stop")
    await client.close()


def main() -> None:
    context = multiprocessing.get_context("spawn")
    pipe, other_end = context.Pipe()
    process = context.Process(target=serve, args=(other_end,))
    process.start()
    uvloop.run(call(pipe.recv(), pipe))
    process.join()


if __name__ == "__main__":
    main()
