"""Stand-ins for scripts of this review: a key-value store, endpoints, callers and gateway processes.

Standard library only. Everything listens on and connects to loopback addresses.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "a.example"
KEY = "k1"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, line):
        self.file.write(f"{now():8.3f} {line}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message with a length or in chunks: (first line, headers, body), or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 10, 1
        self.changed = asyncio.Condition()

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [lease for lease, (_, end) in self.leases.items() if end < now()]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.delete(key)

    async def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
            "createdRev": created, "lease": lease,
        }
        self.history.append(dict(self.items[key]))
        await self.wake()

    async def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            await self.wake()

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                line, _, body = call
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, answer = await self.answer(url.path, query, json.loads(body or b"{}"))
                data = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json", "Content-Length": len(data)}
                writer.write(message(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500, "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(body)
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (body["ttlMs"] / 1000, now() + body["ttlMs"] / 1000)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        action, _, lease = path[1:].partition("/")
        if int(lease or 0) not in self.leases:
            return 404, {}
        if action == "kv-keep":
            ttl = self.leases[int(lease)][0]
            self.leases[int(lease)] = (ttl, now() + ttl)
        elif action == "kv-lease-end":
            await self.end_lease(int(lease))
        return 200, {}

    async def watch(self, query):
        after, end = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [event for event in self.history if event["revision"] > after]
            if events or now() >= end:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass

    async def transact(self, body):
        def revision_of(key):
            return self.items[key]["revision"] if key in self.items else 0

        expected = body.get("expected", [])
        if any(revision_of(row["key"]) != row["revision"] for row in expected):
            present = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": present}
        if any(put.get("lease", 0) not in (0, *self.leases) for put in body.get("puts", [])):
            return 404, {}
        for put in body.get("puts", []):
            await self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", []):
            await self.delete(key)
        return 200, {"revision": self.revision}


class Endpoint:
    """An endpoint that records what it runs; `handle` answers a request."""

    def __init__(self, name, service, handle, slots=16, zone="z1"):
        self.name, self.service, self.handle = name, service, handle
        self.slots, self.zone, self.runs = slots, zone, []

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def entry(self):
        return {
            "service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": 1,
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "seq": 1,
            "born": 1700000000000,
        }

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                line, headers, body = request
                if headers.get("expect-instance", self.name) != self.name:
                    answer = {"Not-Executed": "1", "Content-Length": 0}
                    writer.write(message("HTTP/1.1 421 X", answer))
                    continue
                self.runs.append(headers.get("request-id"))
                await self.handle(self, writer, line, headers, body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


def seal(name, headers):
    """The headers with which the endpoint `name` marks an answer as its own."""
    return {"Request-Id": headers.get("request-id", ""), "Response-Seal": f"seal.{name}"}


def route(prefix, service, kind, timeout_ms, target_ms, **more):
    return {
        "name": prefix.strip("/"), "host": HOST, "prefix": prefix, "routeType": kind,
        "service": service, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
        "attempts": 1, **more,
    }


def configuration(version, routes, services):
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version, "routes": routes, "services": [{"name": name} for name in services],
        "limits": limits, "tenants": [{"name": "t1", "apiKeys": [KEY]}],
    }


# What deploy/gateway.ini renders, with the bounds of the sheets.
SETTINGS = """[node]
name = {name}
data_centre = z1

[gateway]
callers = 127.0.0.1:{callers}
operations = 127.0.0.1:{operations}
news = 127.0.0.1:{news}
revoke_ms = 5000
apply_ms = 3000
drain_ms = 3000
stop_s = 8
memory_mb = {memory_mb}
max_descriptors = {descriptors}
reserved_idle_ms = 9000

[store]
address = 127.0.0.1:{store}

[retries]
ratio = 0.2
slack = 210
window_s = 10

[data_centres]
z1 = r1

[log]
format = json
level = info
"""


class Gateway:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name, store, memory_mb, descriptors):
        self.callers, self.operations, self.news = free_port(), free_port(), free_port()
        self.folder, self.process = tempfile.TemporaryDirectory(), None
        self.settings = os.path.join(self.folder.name, "settings.ini")
        text = SETTINGS.format(
            name=name, callers=self.callers, operations=self.operations, news=self.news,
            store=store, memory_mb=memory_mb, descriptors=descriptors,
        )
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        program = os.path.join(REPOSITORY, "target/release/apricotknot")
        self.log = open(os.path.join(self.folder.name, "log"), "ab")
        command = [program, "gateway", self.settings]
        self.process = subprocess.Popen(command, stdout=self.log, stderr=subprocess.STDOUT)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def status_kb(self, field):
        """A figure of the process in kB, such as VmRSS, or None once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                return next((int(line.split()[1]) for line in status if line.startswith(field)), None)
        except OSError:
            return None

    async def wait_ready(self):
        for _ in range(200):
            answer = await call(self.operations, message("GET /readyz HTTP/1.1", {"Host": HOST}), 1)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def call(port, request, limit):
    """Sends one request on a new connection; (status, body), or None without a whole answer."""
    writer = None
    try:
        connecting = asyncio.open_connection("127.0.0.1", port)
        reader, writer = await asyncio.wait_for(connecting, min(limit, 1))
        writer.write(request)
        await writer.drain()
        answer = await asyncio.wait_for(read_message(reader), limit)
        return answer and (int(answer[0].split(" ")[1]), answer[2])
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def run_to_end(run_case):
    """Runs a case and ends the process with its exit status, without waiting for open connections."""

    async def run():
        try:
            status = await run_case(os.environ.get("TROUBLE", "1") != "0")
        except Exception as error:  # pylint: disable=broad-except
            print(f"the case could not run: {error!r}", flush=True)
            status = 2
        os._exit(status)

    asyncio.run(run())
