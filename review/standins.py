"""Stand-ins and helpers that the cases of this folder share.

Everything here uses loopback addresses, free ports, a temporary folder and the standard library alone. The
balancer is started with the command `run` of deploy/balancer.toml. A case ends with `finish`: exit code 1 if the
rule was broken, 0 if it held, 2 if the case could not run.
"""

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
import traceback

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "connection-balancer")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_RUN_S = 100
LONGEST_FOLDER = 60
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2

_started_at = time.monotonic()
_record_lock = threading.Lock()
_record_lines = []
_processes = []


class CouldNotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def now():
    """Returns the seconds since the start of the case."""
    return time.monotonic() - _started_at


def record(text):
    """Adds a line, with its time, to the record of the case."""
    with _record_lock:
        _record_lines.append("%8.3f  %s" % (now(), text))


def free_port(kind=socket.SOCK_STREAM):
    """Returns a loopback port that no socket uses."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def loopback(port):
    return "127.0.0.1:%d" % port


def write_json(path, content):
    """Replaces a file as a whole."""
    with open(path + ".new", "w") as file:
        json.dump(content, file, indent=1)
    os.replace(path + ".new", path)
    return path


def run_command():
    """Returns the command that starts a balancer, from deploy/balancer.toml."""
    with open(os.path.join(REPOSITORY, "deploy", "balancer.toml")) as file:
        match = re.search(r'^run\s*=\s*"(.*)"\s*$', file.read(), re.MULTILINE)
    if not match:
        raise CouldNotRun("deploy/balancer.toml has no command `run`")
    return match.group(1)


class Balancer:
    """A balancer that this case started, as a process of its own."""

    def __init__(self, name, folder, arguments="", environment=None):
        if not os.path.exists(PROGRAM):
            raise CouldNotRun("target/release/connection-balancer does not exist; build it first")
        variables = {key: value for key, value in os.environ.items() if key not in ("NODE_CONFIG", "NODE_MGMT")}
        variables.update({"TMPDIR": folder}, **(environment or {}))
        self.name = name
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", (run_command() + " " + arguments).strip()],
                cwd=REPOSITORY, env=variables, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        _processes.append(self)
        record("%s: started" % name)

    def signal(self, number):
        record("%s: %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def wait_for_exit(self, seconds):
        """Waits for the process to end by itself. Returns its exit code, or None if it still runs."""
        try:
            code = self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None
        record("%s: exited with %d" % (self.name, code))
        return code

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()


def admin_call(port, line, seconds=3.0):
    """Makes a call at an admin endpoint, and returns the answer's first line; empty if there was none."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=seconds) as connection:
            connection.sendall((line + "\r\n").encode())
            return connection.makefile("rb").readline().decode().strip()
    except OSError:
        return ""


def wait_until_ready(balancer, admin_port, seconds=10.0):
    """Waits until the balancer answers `readyz` with YES."""
    end = now() + seconds
    while now() < end:
        if admin_call(admin_port, "readyz", 1.0) == "YES":
            record("%s: readyz YES" % balancer.name)
            return
        if balancer.process.poll() is not None:
            break
        time.sleep(0.02)
    raise CouldNotRun("%s is not ready:\n%s" % (balancer.name, balancer.log()))


def command(*arguments):
    """Runs a command of the program, such as `set`, and returns its exit code. Records its output."""
    done = subprocess.run([PROGRAM, *arguments], capture_output=True, text=True, timeout=20)
    shown = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", " ".join(arguments))
    record("command `%s`: exit code %d, %s" % (shown, done.returncode, (done.stdout + done.stderr).strip()))
    return done.returncode


def serve_connections(listener, serve):
    """Calls `serve` with each accepted connection, on a thread of its own."""
    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()


def listen():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(256)
    return listener


class IrcServer:
    """An IRC server (RFC 2812) that welcomes every registration, and notes when each one arrived."""

    def __init__(self, name):
        self.name = name
        self.registrations = []
        listener = listen()
        self.port = listener.getsockname()[1]
        serve_connections(listener, self._serve)

    def registrations_since(self, time_s):
        return [nick for at, nick in self.registrations if at >= time_s]

    def _serve(self, connection):
        nick = "*"
        try:
            with connection:
                for line in connection.makefile("rb"):
                    word, _, rest = line.decode(errors="replace").strip().partition(" ")
                    if word == "NICK":
                        nick = rest
                    elif word == "USER":
                        self.registrations.append((now(), nick))
                        record("%s: got the registration of %s" % (self.name, nick))
                        connection.sendall((":%s 001 %s :Welcome\r\n" % (self.name, nick)).encode())
                    elif word == "PING":
                        connection.sendall((":%s PONG %s %s\r\n" % (self.name, self.name, rest)).encode())
                    elif word == "QUIT":
                        return
        except OSError:
            pass


def register_irc_client(port, nick):
    """Registers a client at a balancer, records the first line that it gets, and leaves."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
            connection.sendall(("NICK %s\r\nUSER u 0 * :A tool\r\n" % nick).encode())
            answer = connection.makefile("rb").readline().decode(errors="replace").strip()
    except OSError as error:
        answer = "no answer (%s)" % error
    record("client %s: %s" % (nick, answer or "closed without an answer"))
    return answer


def irc_configuration(port, admin_port, name, servers, **more):
    """Returns an operator's file for the IRC front, in the form of deploy/irc.json."""
    return dict({
        "listen": loopback(port),
        "mgmt": loopback(admin_port),
        "name": name,
        "class": {"name": "tooling", "worth": 1, "setup_aim_ms": 1000, "give_up_ms": 5000},
        "limits": {"legs": 6, "connect_ms": 500, "retry_after_ms": 1000, "warm_up_ms": 1000, "cold_share": 0.34},
        "drain_over_ms": 500,
        "hosts": [{"name": server.name, "address": loopback(server.port)} for server in servers],
    }, **more)


def _give_up(_signal, _frame):
    raise CouldNotRun("the case took over %d s" % LONGEST_RUN_S)


def finish(play):
    """Plays a case, and ends this process with the exit code of its result.

    `play` gets a temporary folder. It returns whether the rule held, and a sentence on what was seen.
    """
    folder = tempfile.mkdtemp(prefix="review-")
    if len(folder) > LONGEST_FOLDER:
        # The path of the hot-restart socket in this folder would be longer than the system allows.
        os.rmdir(folder)
        folder = tempfile.mkdtemp(prefix="review-", dir="/tmp")
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(LONGEST_RUN_S)
    record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    try:
        held, seen = play(folder)
        code, verdict = (EXIT_HELD, "held") if held else (EXIT_BROKEN, "BROKEN")
        record("the rule %s: %s" % (verdict, seen))
    except Exception as error:  # Whatever went wrong here says nothing about the rule.
        code = EXIT_COULD_NOT_RUN
        record("the case could not run: %s" % error)
        if not isinstance(error, CouldNotRun):
            record(traceback.format_exc())
    signal.alarm(0)
    for balancer in _processes:
        if balancer.process.poll() is None:
            balancer.process.kill()
            balancer.process.wait()
    with _record_lock:
        lines = list(_record_lines)
    for balancer in _processes:
        lines += ["", "log of %s:" % balancer.name] + balancer.log().replace(folder, "FOLDER").splitlines()
    case_folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    with open(os.path.join(case_folder, "record.txt"), "w") as file:
        file.write("\n".join(lines) + "\n")
    shutil.rmtree(folder, ignore_errors=True)
    print([line for line in lines if "the rule " in line or "could not run" in line][0])
    sys.stdout.flush()
    # Threads of stand-ins may still wait for connections.
    os._exit(code)
