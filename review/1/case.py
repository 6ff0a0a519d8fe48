"""A new configuration moves discovery to a service that is crowded. A server drains there.

The platform's front runs with three servers. The configuration file is replaced and SIGHUP sent: `discovery` names
another address. The new service lists one server as draining from half a second later on. It is up and tells this
to a caller that has a watch open, but it is crowded for some seconds: the balancer's calls wait for their turn in
vain and end in 503. What discovery has to tell counts as told 4 s after SIGHUP, and in any case 6 s later.
The case counts the requests that reach the draining server after these times, the drain grace of the settings, and the
slack of 50 ms. The rule counts as broken only if requests come after both.
"""

import json
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (Balancer, CouldNotRun, TROUBLE, finish, free_port, listen, loopback, now, record,
                      serve_connections, wait_until_ready, write_json)

CLIENTS_PER_S = 8
DRAIN_GRACE_S = 0.250
SOCKET_SLACK_S = 0.050
TOLD_AFTER_SIGHUP_S = 4.0
TOLD_AT_THE_LATEST_S = 6.0
DRAIN_AFTER_SIGHUP_S = 0.5
CROWDED_S = 10.0
WAIT_IN_CROWD_S = 1.0
PLAYED_AFTER_SIGHUP_S = 12.0

SETTINGS = {
    "balancers": 3,
    "discovery": "on_request",
    "zones": ["dc-north"],
    "zone": "dc-north",
    "accounts": [{"name": "game-a", "quota-per-s": 6.0, "fraction": 1.0}],
    "classes": [
        {"name": "stock-feed", "gain": 3, "objective": 800, "deadline": 3200, "repeat": "repeatable", "group": "all"},
        {"name": "wallet", "gain": 2, "objective": 300, "deadline": 1200, "repeat": "repeatable", "group": "all"},
    ],
    "family-info": {"mode": "proxy", "groups": True, "message-aim": [100, 250], "tells-load": True,
                    "tells-delay": True},
    "invariants": {"must-ask-in": 10000, "drain-grace": 1000 * DRAIN_GRACE_S, "cold-share": 0.34, "warm-up": 8800,
                   "tip-multiple": 4, "overload-for": 3000, "answer-slack": 8},
    "limits": {"connect-timeout": 250, "try-limit": 6, "cancel": True, "retry-after": True,
               "max-retry-after": 1500, "second-copies": False, "peers": False, "probing": False},
    "reporting": {"how": "off"},
}


class Server:
    """A server of the platform's protocol: it accepts each OPEN with UP, and echoes the lines after that."""

    def __init__(self, name):
        self.name, self.lifecycle, self.requests = name, "ready", []
        listener = listen()
        self.address = loopback(listener.getsockname()[1])
        serve_connections(listener, self._serve)

    def entry(self):
        return {"instanceId": self.name, "hostPort": self.address, "zone": "dc-north", "machineType": "standard",
                "cell": 0, "lifecycle": self.lifecycle, "weight": 1.0, "startedAtMs": 0}

    def _serve(self, connection):
        try:
            with connection:
                # The time of a send counts from its first byte.
                connection.recv(1, socket.MSG_PEEK)
                arrived_at = now()
                for line in connection.makefile("rb"):
                    if line.startswith(b"OPEN "):
                        self.requests.append(arrived_at)
                        record("%s (%s): got %s" % (self.name, self.lifecycle, line.split()[1].decode()))
                        connection.sendall(b"UP receipt\r\n")
                    else:
                        connection.sendall(line)
        except OSError:
            pass


class Discovery:
    """Discovery's long polls, as the protocol page has them. While it is crowded, calls wait and end in 503.

    A caller that waits for a change has its turn when the change is there.
    """

    def __init__(self, name, servers):
        self.name, self.servers, self.generation = name, servers, 41
        self.crowded_until = 0.0
        self.told_draining_at = None
        self.changed = threading.Condition()
        self.connections = []
        self.listener = listen()
        self.address = loopback(self.listener.getsockname()[1])
        serve_connections(self.listener, self._serve)

    def change(self):
        with self.changed:
            self.generation += 1
            self.changed.notify_all()

    def retire(self):
        """Accepts no new connection from now on, and closes the open ones after 1.5 s."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        time.sleep(1.5)
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def whole_list(self):
        return {"generation": self.generation, "reset": True, "instances": [s.entry() for s in self.servers]}

    def _answer(self, since, hold_s):
        with self.changed:
            if since is not None:
                self.changed.wait_for(lambda: self.generation > since, timeout=hold_s)
                if self.generation <= since:
                    return {"generation": self.generation, "reset": False, "instances": []}
            return self.whole_list()

    def _serve(self, connection):
        self.connections.append(connection)
        try:
            with connection:
                reader = connection.makefile("rb")
                while True:
                    request = reader.readline().decode().split()
                    if not request:
                        return
                    caller = ""
                    while True:
                        header = reader.readline().strip()
                        if not header:
                            break
                        if header.lower().startswith(b"x-caller:"):
                            caller = header.split(b":")[1].strip().decode()
                    path, _, query = request[1].partition("?")
                    query = dict(part.split("=") for part in query.split("&") if part)
                    since = int(query["from"]) if "from" in query else None
                    if now() < self.crowded_until:
                        time.sleep(WAIT_IN_CROWD_S)
                        record("%s: 503 to %s" % (self.name, request[1]))
                        connection.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        continue
                    answer = self._answer(since, int(query.get("hold_ms", 0)) / 1000)
                    draining = [s["instanceId"] for s in answer["instances"] if s["lifecycle"] == "draining"]
                    record("%s: 200 to %s%s: generation %d, draining %s" % (
                        self.name, request[1], caller and " of " + caller, answer["generation"], draining))
                    if draining and not caller and self.told_draining_at is None:
                        self.told_draining_at = now()
                    body = json.dumps(answer).encode()
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                       b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        except OSError:
            pass


def watch_as_other_balancer(discovery):
    """Makes one call, as another balancer that has its watch open. Shows that discovery is up and tells."""
    host, port = discovery.address.split(":")
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        connection.sendall(b"GET /v1/servers?from=%d&hold_ms=20000 HTTP/1.1\r\nHost: discovery\r\n"
                           b"X-Caller: another balancer\r\n\r\n" % discovery.generation)
        connection.makefile("rb").readline()


def play_client(port):
    identity = "%016x" % random.getrandbits(64)
    name, wait_ms = random.choice([("stock-feed", 3200), ("wallet", 1200)])
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
            connection.sendall(b"OPEN %s %016x c=%s,t=game-a,d=%d,g=%016x\r\n" % (
                identity.encode(), random.getrandbits(64), name.encode(), wait_ms, random.getrandbits(64)))
            answer = connection.makefile("rb").readline().decode().strip()
            record("client %s: %s" % (identity, answer or "closed without an answer"))
            if answer.startswith("UP"):
                time.sleep(1.5)
    except OSError as error:
        record("client %s: %s" % (identity, error))


def send_clients(port, until):
    while now() < until:
        threading.Thread(target=play_client, args=(port,), daemon=True).start()
        time.sleep(1 / CLIENTS_PER_S)


def play(folder):
    servers = [Server("s-0000000%d" % number) for number in (1, 2, 3)]
    old, new = Discovery("old discovery", servers), Discovery("new discovery", servers)
    port, admin_port = free_port(), free_port()
    known = old.whole_list()

    def configuration(discovery):
        return write_json(os.path.join(folder, "config.json"), {
            "name": "n3", "listen": loopback(port), "mgmt": loopback(admin_port), "discovery": discovery.address,
            "seed": "%x" % random.getrandbits(63), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": SETTINGS})

    balancer = Balancer("balancer", folder, environment={"NODE_CONFIG": configuration(old)})
    wait_until_ready(balancer, admin_port)
    started_at = now()
    end = started_at + 3 + PLAYED_AFTER_SIGHUP_S
    threading.Thread(target=send_clients, args=(port, end), daemon=True).start()
    time.sleep(3)
    threading.Thread(target=watch_as_other_balancer, args=(new,), daemon=True).start()
    time.sleep(0.1)
    configuration(new)
    sighup_at = now()
    if TROUBLE:
        new.crowded_until = sighup_at + CROWDED_S
    balancer.signal(signal.SIGHUP)
    threading.Thread(target=old.retire, daemon=True).start()
    time.sleep(DRAIN_AFTER_SIGHUP_S)
    draining = servers[-1]
    draining.lifecycle, drained_at = "draining", now()
    record("%s begins to drain" % draining.name)
    new.change()
    time.sleep(max(0.0, end - now()) + 1)
    if balancer.process.poll() is not None:
        raise CouldNotRun("the balancer has ended")
    allowed_s = DRAIN_GRACE_S + SOCKET_SLACK_S
    told_by_answer = new.told_draining_at or float("inf")
    told_by_sighup = min(told_by_answer, sighup_at + TOLD_AFTER_SIGHUP_S)
    told_at_the_latest = min(told_by_answer, max(told_by_sighup, drained_at + TOLD_AT_THE_LATEST_S))
    late = [at for at in draining.requests if at > told_by_sighup + allowed_s]
    latest = [at for at in draining.requests if at > told_at_the_latest + allowed_s]
    record("told by the sentence on SIGHUP at %.3f: %d requests to %s later than 300 ms after that" % (
        told_by_sighup, len(late), draining.name))
    record("told at the latest at %.3f: %d requests to %s later than 300 ms after that" % (
        told_at_the_latest, len(latest), draining.name))
    if not any(server.requests for server in servers):
        raise CouldNotRun("no request reached a server")
    # The later of the two times decides.
    if latest:
        return False, "%s got %d requests later than 300 ms after the drain counted as told at the latest, the last " \
                      "%.1f s after it" % (draining.name, len(latest), latest[-1] - told_at_the_latest)
    return True, "%s got no request later than 300 ms after the drain counted as told" % draining.name


finish(play)
