"""An endpoint crashes while an upload is under way to it and its answer, which has no length, has begun."""
import asyncio
import os
import signal
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
from standins import KEY, HOST, Gateway, Record, Store  # noqa: E402
from standins import call, configuration, free_port, message, now, route, run_to_end, seal  # noqa: E402

# Machines of the site zhaksy-marks-grown: memory, descriptors and the rate of their links (20 Mbit/s).
MEMORY_MB, DESCRIPTORS = 160, 4100
LINK_BYTES_PER_S = 20_000_000 // 8
LINK_STEP_S = 0.01
LINK_BUFFER_BYTES = 32 * 1024

ENDPOINTS = 3
TRIALS = 8

# The upload stays inside maxBodyBytes (4,194,304) and takes 0.8 s on the link.
UPLOAD_BYTES = 2_000_000
PARTS, EARLY_PARTS, PART_BYTES = 40, 10, 1000
CRASH_AFTER_S = 0.3
DOWN_S = 2.0


def whole_answer(request_id):
    return b"".join((b"%s part %02d " % (request_id.encode(), part)).ljust(PART_BYTES, b".") for part in range(PARTS))


async def serve(name, reader, writer):
    """A sound endpoint: it answers a long upload at once, reads on, and ends its answer with the connection."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}
        if headers["expect-instance"] != name:
            writer.write(message("HTTP/1.1 421 X", {"Not-Executed": "1", "Content-Length": 0}))
            return
        answer = whole_answer(headers["request-id"])
        early = EARLY_PARTS * PART_BYTES
        writer.write(message("HTTP/1.1 200 OK", seal(name, headers), answer[:early]))
        print("begun", headers["request-id"], flush=True)
        left = int(headers["content-length"])
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                return
            left -= len(part)
        print("read", headers["request-id"], flush=True)
        writer.write(answer[early:])
        await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def run_endpoint(name, port):
    server = await asyncio.start_server(lambda reader, writer: serve(name, reader, writer), "127.0.0.1", port)
    print("listening", flush=True)
    await server.serve_forever()


class Link:
    """The way from a machine to one endpoint: bytes at the rate of the link, ends and resets as they come."""

    def __init__(self, target, log):
        self.target, self.port, self.log = target, free_port(), log

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINK_BUFFER_BYTES)
        listener.bind(("127.0.0.1", self.port))
        self.server = await asyncio.start_server(self.pass_on, sock=listener, limit=LINK_BUFFER_BYTES)

    async def pass_on(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return reset(writer)
        back = asyncio.create_task(self.pass_back(far_reader, writer))
        try:
            while part := await reader.read(int(LINK_BYTES_PER_S * LINK_STEP_S)):
                far_writer.write(part)
                await far_writer.drain()
                await asyncio.sleep(LINK_STEP_S)
            far_writer.write_eof()
        except (ConnectionError, OSError):
            # The machine of the endpoint has answered with a reset, which takes the same way.
            self.log("link: resets the connection while the upload is under way")
            reset(writer)
        await back
        writer.close()
        far_writer.close()

    async def pass_back(self, far_reader, writer):
        try:
            while part := await far_reader.read(65536):
                writer.write(part)
                await writer.drain()
            self.log("link: passes on the end of the connection")
            writer.write_eof()
        except (ConnectionError, OSError):
            reset(writer)


def reset(writer):
    connection = writer.transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Process:
    """One endpoint as a process of its own, with the link to it."""

    def __init__(self, name, record):
        self.name, self.record, self.port = name, record, free_port()
        self.link = Link(self.port, lambda line: record.write(f"{name}: {line}"))
        self.begun, self.process = asyncio.Event(), None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), "endpoint", self.name, str(self.port),
            stdout=asyncio.subprocess.PIPE,
        )
        await self.process.stdout.readline()
        self.lines = asyncio.create_task(self.read_lines(self.process))

    async def read_lines(self, process):
        while line := await process.stdout.readline():
            self.record.write(f"{self.name}: {line.decode().strip()}")
            self.begun.set()

    def entry(self):
        return {
            "service": "desk", "addr": f"127.0.0.1:{self.link.port}", "zone": "z1", "version": 1, "slots": 6,
            "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": 1700000000000 + int(now() * 1000),
        }

    async def crash(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


def upload_request(request_id):
    headers = {
        "Host": HOST, "Request-Id": request_id, "X-Api-Key": KEY, "Request-Deadline": 4000,
        "Content-Length": UPLOAD_BYTES,
    }
    return message("POST /plates/new HTTP/1.1", headers, b"u" * UPLOAD_BYTES)


async def run_trial(trial, node, endpoints, store, record, has_trouble):
    """Returns whether the caller got a part of an answer as the whole one."""
    request_id = f"upload-{trial}"
    for endpoint in endpoints:
        endpoint.begun.clear()
    upload = asyncio.create_task(call(node.callers, upload_request(request_id), 8))
    waits = {asyncio.create_task(endpoint.begun.wait()): endpoint for endpoint in endpoints}
    done, pending = await asyncio.wait(waits, timeout=5, return_when=asyncio.FIRST_COMPLETED)
    for wait in pending:
        wait.cancel()
    crashed = waits[done.pop()] if done and has_trouble else None
    if crashed:
        await asyncio.sleep(CRASH_AFTER_S)
        await crashed.crash()
        record.write(f"{crashed.name}: crashes (SIGKILL)")
    answer = await upload
    record.write(f"caller of {request_id}: {answer and (answer[0], f'{len(answer[1])} bytes, complete')}")
    if crashed:
        await store.delete(f"servers/{crashed.name}")
        await asyncio.sleep(DOWN_S)
        await crashed.start()
        await store.put(f"servers/{crashed.name}", crashed.entry())
        await asyncio.sleep(1)
    return bool(answer) and answer[0] == 200 and answer[1] != whole_answer(request_id)


async def run_case(has_trouble):
    record = Record(FOLDER)
    store = Store()
    await store.start()
    endpoints = [Process(f"i-{index}", record) for index in range(ENDPOINTS)]
    node = Gateway("node-0", store.port, MEMORY_MB, DESCRIPTORS)
    try:
        for endpoint in endpoints:
            await endpoint.start()
            await endpoint.link.start()
            await store.put(f"servers/{endpoint.name}", endpoint.entry())
        routes = [route("/plates/", "desk", "non_idempotent", 4000, 2000)]
        await store.put("op/config", configuration(5, routes, ["desk"]))
        node.start()
        if not await node.wait_ready():
            record.write("the node did not become ready")
            return 2
        partial = 0
        for trial in range(TRIALS):
            partial += await run_trial(trial, node, endpoints, store, record, has_trouble)
        record.write(f"parts of an answer taken for the whole one: {partial} of {TRIALS}")
        return 1 if partial else 0
    finally:
        node.kill()
        for endpoint in endpoints:
            if endpoint.process and endpoint.process.returncode is None:
                endpoint.process.kill()
                await endpoint.process.wait()


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["endpoint", name, port]:
            asyncio.run(run_endpoint(name, int(port)))
        case _:
            run_to_end(run_case)
