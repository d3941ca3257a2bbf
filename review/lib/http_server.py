"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's cases."""

import asyncio
import json

SILENT = object()  # a handler's result: never answer; the connection stays open


class HttpServer:
    """Calls `handler(method, path, query, headers, body)` for each request, one at a time a connection."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.connections = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port, backlog=1024)

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, separator, value = line.partition(":")
                    if separator:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                answer = await self.handler(method, path, query, headers, body)
                if answer is SILENT:
                    await reader.read()
                    return
                status, content = answer
                data = json.dumps(content, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


async def request(host, port, method, path, headers=None, body=b"", timeout=3.0, source=None):
    """Sends one request on a connection of its own. Returns (status, body) or (None, reason)."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port)
        text = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\nConnection: close\r\n"
        for name, value in {"Host": host, **(headers or {})}.items():
            text += f"{name}: {value}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        return status, await reader.readexactly(length)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as problem:
        return None, str(problem).encode()
    finally:
        if writer is not None:
            writer.transport.abort()
