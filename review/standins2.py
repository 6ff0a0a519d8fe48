"""Stand-ins for the cases 6 to 10: IRC servers and clients, discovery, and the daemon as a process.

Every socket is bound to a loopback address. Only the standard library is used.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be set up, so that it proves nothing."""


def trouble():
    """Returns whether the disruption of the case is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count, kind=socket.SOCK_STREAM):
    """Returns free ports. All are held open at the same time, so that they differ."""
    held = []
    for _ in range(count):
        held.append(socket.socket(socket.AF_INET, kind))
        held[-1].bind((HOST, 0))
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def run_command():
    """Returns the command that starts one balancer, from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "([^"]*)"', file.read(), re.M).group(1)


def deploy_irc():
    """Returns the operator's file of the deployment, as a base for settings."""
    with open(os.path.join(ROOT, "deploy", "irc.json"), encoding="utf-8") as file:
        return json.load(file)


class Daemon:
    """One balancer, started with the command of the deploy file from the project's root."""

    def __init__(self, case, name, tmpdir, arguments="", environment=None):
        self.case, self.name = case, name
        command = run_command() + (" " + arguments if arguments else "")
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        env.update(environment or {}, TMPDIR=tmpdir)
        self.log = open(os.path.join(case.folder_tmp, name + ".log"), "wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )
        case.daemons.append(self)
        case.record.write(f"{name}: started as process {self.process.pid}: {command}")

    def signal(self, number):
        self.case.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process.poll() is None

    async def wait_for_exit(self, seconds):
        end = time.monotonic() + seconds
        while self.is_running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.is_running():
            raise CannotRun(f"{self.name} did not exit within {seconds} s")
        self.case.record.write(f"{self.name}: exited with {self.process.returncode}")


class Case:
    """The frame of one case: record, temporary folder, processes, and the exit code."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder_tmp = tempfile.mkdtemp(prefix="sm-")
        self.daemons, self.programs, self.violations = [], [], []

    def path(self, name):
        return os.path.join(self.folder_tmp, name)

    def folder(self, name):
        os.makedirs(self.path(name), exist_ok=True)
        return self.path(name)

    def write_json(self, name, value):
        with open(self.path(name) + ".new", "w", encoding="utf-8") as file:
            json.dump(value, file)
        os.rename(self.path(name) + ".new", self.path(name))
        return self.path(name)

    def violation(self, text):
        self.violations.append(text)
        self.record.write("RULE BROKEN: " + text)

    def end(self):
        for program in self.programs:
            program.end()
        for daemon in self.daemons:
            if daemon.is_running():
                daemon.process.kill()
            daemon.process.wait()
            daemon.log.close()
            with open(daemon.log.name, encoding="utf-8", errors="replace") as log:
                for line in log.read().splitlines()[:200]:
                    self.record.write(f"log of {daemon.name}: {line}")
        shutil.rmtree(self.folder_tmp, ignore_errors=True)


def main(file, play, limit=110):
    """Plays a case and exits with 0 (rule held), 1 (rule broken) or 2 (could not run)."""
    case = Case(os.path.dirname(os.path.abspath(file)))
    case.record.write("with the disruption" if trouble() else "without the disruption")
    code = 2
    # An end by a signal still ends the daemons.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        asyncio.run(asyncio.wait_for(play(case), limit))
        code = 1 if case.violations else 0
    except (CannotRun, OSError, asyncio.TimeoutError, AssertionError) as error:
        case.record.write(f"could not run: {type(error).__name__}: {error}")
    finally:
        case.end()
        case.record.write({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    print(f"exit {code}: {len(case.violations)} violations")
    for text in case.violations[:5]:
        print("  " + text)
    sys.stdout.flush()
    # Without this, sockets that are still open would be closed after the end of the event loop.
    os._exit(code)


class Program:
    """A stand-in as a process of its own (flood2.py). Its lines of output are kept as events."""

    def __init__(self, case, *arguments):
        self.case, self.name, self.events = case, " ".join(arguments), []
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(ROOT, "review", "flood2.py"), *arguments],
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True,
        )
        case.programs.append(self)
        case.record.write(f"stand-in started as process {self.process.pid}: {self.name}")
        self.reader = threading.Thread(target=self.read, daemon=True)
        self.reader.start()

    def read(self):
        for line in self.process.stdout:
            event = json.loads(line)
            self.events.append(event)
            self.case.record.write(f"{self.name}: {line.rstrip()}")

    def end(self):
        self.process.kill()
        self.process.wait()
        self.reader.join(5)


# ---- Admin calls and store commands ----


async def admin_call(case, port, call, quiet=False):
    """Makes a call at the admin endpoint and returns the whole answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(call.encode() + b"\r\n")
    answer = (await asyncio.wait_for(reader.read(), 5)).decode()
    writer.close()
    if not quiet:
        case.record.write(f"admin :{port} {call!r} -> {answer.splitlines()[0] if answer else ''!r}")
    return answer


async def wait_ready(case, port, seconds=15, interval=0.05):
    """Waits until the process at this admin endpoint says that it can serve."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if (await admin_call(case, port, "readyz", quiet=True)).startswith("YES"):
                case.record.write(f"admin :{port} 'readyz' -> YES")
                return
        except OSError:
            pass
        await asyncio.sleep(interval)
    raise CannotRun(f"the process at :{port} is not ready after {seconds} s")


async def command_line(case, *arguments):
    """Runs a command of the program, such as `set`, and returns its output; fails if it fails."""
    program = re.search(r"(\S*connection-balancer)", run_command()).group(1)
    process = await asyncio.create_subprocess_exec(
        os.path.join(ROOT, program), *arguments, cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )
    output = (await process.communicate())[0].decode().strip()
    case.record.write(f"command {' '.join(arguments)} -> {process.returncode} {output!r}")
    return process.returncode, output


# ---- IRC ----


class IrcServer:
    """An IRC server: welcomes each registration after a delay, and answers PING."""

    def __init__(self, case, name, port):
        self.case, self.name, self.port = case, name, port
        self.delay = 0.0
        self.registrations = []  # (time, nick), when the registration was received
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        nick, user, welcomed = None, False, False
        try:
            while line := await reader.readline():
                words = line.decode(errors="replace").split()
                command = words[0].upper() if words else ""
                if command == "NICK":
                    nick = words[1]
                elif command == "USER":
                    user = True
                elif command == "PING":
                    writer.write(f":{self.name} PONG {self.name} :{words[1].lstrip(':')}\r\n".encode())
                elif command == "QUIT":
                    writer.write(b"ERROR :Closing Link\r\n")
                    return
                if nick and user and not welcomed:
                    welcomed = True
                    self.registrations.append((self.case.record.now(), nick))
                    self.case.record.write(f"{self.name}: received the registration of {nick}")
                    await asyncio.sleep(self.delay)
                    writer.write(f":{self.name} 001 {nick} :Welcome\r\n".encode())
                    self.case.record.write(f"{self.name}: welcomed {nick}")
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end_process(self):
        """Ends like a process that is restarted: the listener closes, and connections are closed."""
        self.case.record.write(f"{self.name}: the process ends, {len(self.writers)} connections close")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class IrcClient:
    """An IRC client that registers and stays, with a PING every two seconds."""

    def __init__(self, case, nick):
        self.case, self.nick = case, nick
        self.welcomed_by = self.told_to_move = self.refused = None
        self.ended = None  # time and manner of the end
        self.answered = asyncio.Event()

    async def run(self, port):
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError as error:
            self.ended = (self.case.record.now(), f"no connection: {error}")
            self.answered.set()
            return
        self.writer = writer
        writer.write(f"NICK {self.nick}\r\nUSER u 0 * :tool\r\n".encode())
        pinger = asyncio.ensure_future(self.ping())
        manner = "closed"
        try:
            while line := (await reader.readline()).decode(errors="replace").rstrip():
                words = line.split()
                numeric = words[1] if len(words) > 1 else ""
                if numeric == "001":
                    self.welcomed_by = words[0].lstrip(":")
                    self.case.record.write(f"client {self.nick}: welcomed by {self.welcomed_by}")
                    self.answered.set()
                elif numeric == "010":
                    self.told_to_move = self.case.record.now()
                    self.case.record.write(f"client {self.nick}: told to move")
                elif numeric == "263" or words[0] == "ERROR":
                    self.refused = self.refused or line
                    self.answered.set()
        except OSError:
            manner = "reset"
        finally:
            pinger.cancel()
            writer.close()
            self.ended = (self.case.record.now(), manner)
            self.answered.set()
            self.case.record.write(f"client {self.nick}: connection {manner}")

    async def ping(self):
        while True:
            await asyncio.sleep(2)
            if self.welcomed_by:
                self.writer.write(b"PING :x\r\n")

    def start(self, port):
        self.task = asyncio.ensure_future(self.run(port))
        return self


# ---- The platform ----


class Discovery:
    """Discovery: the whole list, and watches that are held until something changes. Nothing changes here."""

    def __init__(self, case, name, port, servers):
        self.case, self.name, self.port = case, name, port
        self.generation, self.entries, self.changed_at = 41, {}, {}
        for server in servers:
            self.entries[server.name] = {
                "instanceId": server.name, "hostPort": f"{HOST}:{server.port}", "zone": "dc-north",
                "machineType": "standard", "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
            }
            self.changed_at[server.name] = 41

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        return self

    def body(self, since):
        changes = [e for n, e in self.entries.items() if since is None or self.changed_at[n] > since]
        return json.dumps({"generation": self.generation, "reset": since is None, "instances": changes})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1].decode()
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if "=" in p)
                since = int(query["from"]) if "from" in query else None
                self.case.record.write(f"{self.name}: call {target}")
                if since is not None and since > self.generation:
                    since = None
                elif since == self.generation:
                    await asyncio.sleep(min(int(query.get("hold_ms", 0)), 60000) / 1000)
                body = self.body(since).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
                self.case.record.write(f"{self.name}: answered {body.decode()[:160]}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def platform_settings(balancers=1, **changes):
    """Returns the settings of a small deployment, with the figures of the operators' pages."""
    settings = {
        "accounts": [{"name": "game-a", "fraction": 1.0, "quota-per-s": 10.0}],
        "balancers": balancers,
        "charges": {"cross-zone": 0.03, "moves": 0.025, "peer": 0.01},
        "classes": [
            {"name": "stock-feed", "deadline": 3200.0, "objective": 800.0, "gain": 3.0, "group": "all",
             "repeat": "repeatable", "streaming": True, "window": 5000.0},
            {"name": "wallet", "deadline": 1200.0, "objective": 300.0, "gain": 2.0, "group": "all",
             "repeat": "repeatable", "streaming": True, "window": 5000.0},
        ],
        "discovery": "on_request",
        "family-info": {"groups": True, "message-aim": [100.0, 250.0], "mode": "proxy",
                        "tells-delay": True, "tells-load": True},
        "invariants": {"answer-slack": 8.0, "cold-share": 0.34, "drain-grace": 250.0, "must-ask-in": 10000.0,
                       "overload-for": 3000.0, "tip-multiple": 4.0, "warm-up": 8800.0},
        "limits": {"cancel": True, "connect-timeout": 250.0, "max-retry-after": 1500.0, "peers": False,
                   "probing": False, "retry-after": True, "second-copies": False, "try-limit": 6},
        "me": 0,
        "reporting": {"fields": [], "how": "off"},
        "zone": "dc-north",
        "zones": ["dc-north", "dc-west", "dc-south"],
    }
    settings.update(changes)
    return settings


def platform_config(listen, discovery, known, settings):
    """Returns the configuration that the platform writes. `known` is the stand-in whose list is known."""
    return {
        "name": "n0", "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{discovery}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": known.generation, "reset": True, "instances": list(known.entries.values())},
        "settings": settings,
    }
