"""A new version takes over while an operator's script removes servers from the store, one `set` after another."""

import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2 as s

UPGRADES = 3
REMOVED = 12  # servers that the script removes at each upgrade
LEFT = 4  # servers that are never removed
GRACE = 0.25 + 0.05


async def play(case):
    ports = s.free_ports(2 + UPGRADES + UPGRADES * REMOVED + LEFT)
    front, mgmts, ports = ports[0], ports[1 : UPGRADES + 2], ports[UPGRADES + 2 :]
    store = s.free_ports(1, socket.SOCK_DGRAM)[0]
    servers = [await s.IrcServer(case, f"irc-{n + 1}", port).start() for n, port in enumerate(ports)]
    config = s.deploy_irc()
    config.update(
        listen=f"{s.HOST}:{front}", drain_over_ms=1000,
        store={"node": "n1", "listen": f"{s.HOST}:{store}", "peers": [], "data": case.folder("data")},
        hosts=[{"name": v.name, "address": f"{s.HOST}:{v.port}", "zone": "dc-north", "weight": 1} for v in servers],
    )
    path = case.write_json("irc.json", config)
    tmp = case.folder("tmp")

    def start(n):
        return s.Daemon(case, f"version{n}", tmp, f"--irc {path}", {"NODE_MGMT": f"{s.HOST}:{mgmts[n]}"})

    serving = start(0)
    await s.wait_ready(case, mgmts[0])
    accepted = {}

    async def remove(names):
        for name in names:
            code, output = await s.command_line(case, "set", f"life/{name}", "gone", "--store", f"{s.HOST}:{store}")
            if code != 0:
                raise s.CannotRun(f"set: {output}")
            accepted[name] = case.record.now()

    for n in range(UPGRADES):
        names = [server.name for server in servers[n * REMOVED : (n + 1) * REMOVED]]
        removing = asyncio.ensure_future(remove(names))
        if s.trouble():
            successor = start(n + 1)
            await s.wait_ready(case, mgmts[n + 1], interval=0.01)
            await removing
            await asyncio.sleep(0.5)
            serving.signal(signal.SIGTERM)
            await serving.wait_for_exit(8)
            serving = successor
        await removing
        await asyncio.sleep(1)
        for _ in range(4):
            clients = [s.IrcClient(case, f"c{n}x{k}").start(front) for k in range(16)]
            for client in clients:
                await asyncio.wait_for(client.answered.wait(), 15)
                client.writer.write(b"QUIT\r\n")
    for server in servers:
        new = [at for at, _ in server.registrations if server.name in accepted and at > accepted[server.name] + GRACE]
        if new:
            case.violation(f"{server.name} got {len(new)} new connections after its removal was accepted, "
                           f"the last {new[-1] - accepted[server.name]:.2f} s after it")
    case.record.write(f"{len(accepted)} removals were accepted")


s.main(__file__, play)
