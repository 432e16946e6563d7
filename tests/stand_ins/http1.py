"""A small HTTP/1.1 client and message reader on plain sockets."""

import socket
import time


class Closed(Exception):
    """The other side closed or reset the connection before the message was complete."""


def read_head(sock, buffered):
    """Reads up to the end of a header. Returns (first line, headers, rest)."""
    while b"\r\n\r\n" not in buffered:
        piece = sock.recv(65536)
        if not piece:
            raise Closed("end of the connection in a header" if buffered else "end of the connection")
        buffered += piece
    head, rest = buffered.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


def read_body(sock, headers, buffered):
    """Reads a body with a length. Returns (body, rest)."""
    length = int(headers.get("content-length", "0"))
    while len(buffered) < length:
        piece = sock.recv(65536)
        if not piece:
            raise Closed("end of the connection in a body")
        buffered += piece
    return buffered[:length], buffered[length:]


class Connection:
    """A kept connection to one address."""

    def __init__(self, address, timeout=5.0):
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=1.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(timeout)
        self.buffered = b""

    def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def receive(self):
        """The next response: (status, headers, body). Raises Closed, OSError or timeout."""
        line, headers, rest = read_head(self.sock, self.buffered)
        body, self.buffered = read_body(self.sock, headers, rest)
        return int(line.split()[1]), headers, body

    def close(self):
        self.sock.close()


def exchange(address, method, path, headers, body=b"", timeout=5.0):
    """One request on a connection of its own: (status, headers, body), or (None, {}, reason)."""
    connection = None
    try:
        connection = Connection(address, timeout)
        connection.send(method, path, headers, body)
        return connection.receive()
    except (OSError, Closed) as error:
        return None, {}, f"{type(error).__name__}: {error}".encode()
    finally:
        if connection is not None:
            connection.close()


def wait_for(check, seconds, period=0.05):
    """Calls check until it returns something true or the time is over. Returns its last result."""
    deadline = time.monotonic() + seconds
    while True:
        result = check()
        if result or time.monotonic() > deadline:
            return result
        time.sleep(period)
