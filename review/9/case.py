"""Two of three balancers are killed in the middle of a change of settings, and come back."""

import asyncio
import os
import random
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2 as s

SERVERS = 24
DOWN = 2.5  # seconds; the pages have 2.5 to 7.3
SETTLE = 15  # seconds after the last change, in which the balancers can exchange what they have


async def play(case):
    ports = s.free_ports(3 + 6 + 3)
    fronts, mgmts, again, ports = ports[:3], ports[3:6], ports[6:8], ports[9:]
    stores = s.free_ports(3, socket.SOCK_DGRAM)
    # All servers of one generation have one address here, so that a client shows which address was used.
    places = [await s.IrcServer(case, f"place-{n}", port).start() for n, port in enumerate(ports)]
    paths = []
    for n in range(3):
        config = s.deploy_irc()
        config.update(
            listen=f"{s.HOST}:{fronts[n]}", balancers=3, drain_over_ms=1000, hosts=[],
            store={"node": f"n{n + 1}", "listen": f"{s.HOST}:{stores[n]}",
                   "peers": [f"{s.HOST}:{store}" for k, store in enumerate(stores) if k != n],
                   "data": case.folder(f"data{n + 1}")},
        )
        paths.append(case.write_json(f"irc{n + 1}.json", config))

    def start(n, name, mgmt):
        return s.Daemon(case, name, case.folder(f"tmp{n + 1}"), f"--irc {paths[n]}",
                        {"NODE_MGMT": f"{s.HOST}:{mgmt}"})

    daemons = [start(n, f"n{n + 1}", mgmts[n]) for n in range(3)]
    for mgmt in mgmts:
        await s.wait_ready(case, mgmt)

    async def move(number, place):
        """Sets a server's address at n1 or, if n1 does not answer, at n3."""
        for n in (0, 2):
            if daemons[n].is_running():
                code, _ = await s.command_line(case, "set", f"host/irc-{number + 1}",
                                               f"{s.HOST}:{places[place].port}", "--store", f"{s.HOST}:{stores[n]}")
                if code == 0:
                    return
        raise s.CannotRun("no balancer accepted the setting")

    for number in range(SERVERS):
        await move(number, 0)
    await asyncio.sleep(3)

    async def restart():
        for n in (0, 1):
            daemons[n].signal(signal.SIGKILL)
        for n in (0, 1):
            await daemons[n].wait_for_exit(5)
        await asyncio.sleep(DOWN)
        for n in (0, 1):
            daemons[n] = start(n, f"n{n + 1} again", again[n])
        for n in (0, 1):
            await s.wait_ready(case, again[n], interval=0.01)

    case.record.write("first change: all servers move to place 1")
    restarting = None
    for number in range(SERVERS):
        if number == 3 and s.trouble():
            restarting = asyncio.ensure_future(restart())
            await asyncio.sleep(0.05)
        await move(number, 1)
        await asyncio.sleep(0.08)
    if restarting:
        await restarting
    case.record.write("second change: all servers move to place 2, in another order")
    for number in random.Random(7).sample(range(SERVERS), SERVERS):
        await move(number, 2)
    accepted_at = case.record.now()
    await asyncio.sleep(SETTLE)
    for n in range(3):
        for k in range(30):
            client = s.IrcClient(case, f"n{n + 1}c{k}").start(fronts[n])
            await asyncio.wait_for(client.answered.wait(), 15)
    old = [nick for place in places[:2] for at, nick in place.registrations if at > accepted_at + 1]
    for nick in old:
        case.violation(f"client {nick} was sent to an address that was replaced {SETTLE} s before, "
                       f"by a setting that was accepted")


s.main(__file__, play)
