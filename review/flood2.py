"""Stand-ins that send or read much, each as a process of its own, so that they do not slow each other down.

    flood2.py server PORT SPOILT              a platform server, whose first SPOILT answers never end
    flood2.py clients PORT FIRST STEP END RATE SECONDS
                                              the usual platform clients FIRST, FIRST + STEP and so on below END;
                                              they read all that is sent to them
    flood2.py bad-irc-client PORT MEGABYTES BYTES_A_SECOND
    flood2.py irc-server PORT NAME SPOILT     an IRC server, whose first SPOILT answers never end
"""

import json
import random
import socket
import sys
import threading
import time

HOST = "127.0.0.1"


SAYING = threading.Lock()


def say(**event):
    with SAYING:
        sys.stdout.write(json.dumps(event) + "\n")
        sys.stdout.flush()


def listen(port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(256)
    return listener


def serve_each(port, serve):
    listener = listen(port)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


def server(port, spoilt):
    """Answers OPEN with UP and each later line with the same line. A spoilt answer is repeated without an end."""
    answers = iter(range(1 << 30))

    def serve(connection):
        with connection:
            try:
                connection.recv(4096)
                number = next(answers)
                answer = f"UP {port}.{number}\r\n".encode()
                connection.sendall(answer)
                if number < spoilt:
                    say(spoilt=number)
                    endless = answer * (65536 // len(answer))
                    while True:
                        connection.sendall(endless)
                while data := connection.recv(65536):
                    connection.sendall(data)
            except OSError:
                pass

    serve_each(port, serve)


def clients(port, numbers, rate, seconds):
    """Opens a connection for each number, at `rate` a second. Reports when each got its answer."""
    started = time.time()

    def one(number):
        wait = 1.2 if number % 2 else 3.2
        name = "wallet" if number % 2 else "stock-feed"
        sent = time.time()
        answer = b""
        try:
            connection = socket.create_connection((HOST, port))
            ident = f"{number:08x}{random.getrandbits(32):08x}"
            connection.sendall(f"OPEN {ident} {number:x} c={name},t=game-a,d={wait * 1000:.0f},g={number:x}\r\n".encode())
            sent = time.time()
            connection.settimeout(1)
            while b"\n" not in answer:
                try:
                    piece = connection.recv(1 << 18)
                except socket.timeout:
                    if time.time() > sent + 15:
                        break
                    continue
                if not piece:
                    break
                answer += piece
            line = answer.split(b"\r\n")[0].decode(errors="replace")[:40]
            say(client=number, sent=sent, wait=wait, answered=time.time() if answer else None, line=line)
            next_line = time.time() + 2
            while answer.startswith(b"UP") and time.time() < started + seconds:
                try:
                    if not connection.recv(1 << 20):
                        break
                except socket.timeout:
                    pass
                if time.time() > next_line:
                    connection.sendall(b"M 1\r\n")
                    next_line += 2
            connection.close()
        except OSError as error:
            if not answer:
                say(client=number, sent=sent, wait=wait, answered=None, line=str(error))

    threads = []
    for number in numbers:
        threads.append(threading.Thread(target=one, args=(number,), daemon=True))
        threads[-1].start()
        time.sleep(1 / rate)
    for thread in threads:
        thread.join()


def bad_irc_client(port, megabytes, bytes_a_second):
    """Registers, and then sends lines that can't be read, at full speed. Reads what is sent to it, as fast as
    its link of `bytes_a_second` carries it."""
    connection = socket.create_connection((HOST, port))
    connection.sendall(b"NICK bad\r\nUSER u 0 * :tool\r\n")
    greeting = b""
    while b" 001 " not in greeting:
        piece = connection.recv(4096)
        if not piece:
            return say(bad="refused")
        greeting += piece
    say(bad="welcomed")

    def read():
        total, started = 0, time.time()
        try:
            while data := connection.recv(65536):
                total += len(data)
                time.sleep(max(0, total / bytes_a_second - (time.time() - started)))
        except OSError:
            pass

    threading.Thread(target=read, daemon=True).start()
    line = b"\0\r\n"
    chunk = line * (65536 // len(line))
    sent = 0
    try:
        while sent < megabytes * 1_000_000:
            connection.sendall(chunk)
            sent += len(chunk)
        say(bad="sent all", bytes=sent)
        time.sleep(60)
    except OSError as error:
        say(bad=f"ended: {error}", bytes=sent)


def irc_server(port, name, spoilt):
    """Welcomes each registration and answers PING. A spoilt answer is a PING that is repeated without an end, by a
    server that does nothing else any more."""
    answers = iter(range(1 << 30))

    def serve(connection):
        with connection:
            try:
                received, nick = b"", None
                while b"USER " not in received or not received.endswith(b"\n"):
                    piece = connection.recv(4096)
                    if not piece:
                        return
                    received += piece
                nick = received.split(b"NICK ")[1].split()[0].decode()
                if next(answers) < spoilt:
                    say(spoilt=nick)
                    endless = f"PING :{name}\r\n".encode() * 4096
                    while True:
                        connection.sendall(endless)
                connection.sendall(f":{name} 001 {nick} :Welcome\r\n".encode())
                while data := connection.recv(4096):
                    for line in data.split(b"\r\n"):
                        if line.startswith(b"PING"):
                            connection.sendall(f":{name} PONG {name} :x\r\n".encode())
            except OSError:
                pass

    serve_each(port, serve)


def main():
    mode, *values = sys.argv[1:]
    if mode == "server":
        server(int(values[0]), int(values[1]))
    elif mode == "clients":
        first, step, end = (int(value) for value in values[1:4])
        clients(int(values[0]), range(first, end, step), float(values[4]), float(values[5]))
    elif mode == "bad-irc-client":
        bad_irc_client(int(values[0]), float(values[1]), float(values[2]))
    elif mode == "irc-server":
        irc_server(int(values[0]), values[1], int(values[2]))


main()
