"""TCP proxies on loopback whose fault can be changed while connections are open."""

import random
import selectors
import socket
import threading
import time

CHUNK_BYTES = 16384
POLL_S = 0.05


class LoopbackProxy:
    """Forwards connections from one address to another.

    Faults: "none"; "delay" delays every chunk by a random time; "reset" resets open and new
    connections; "silent" drops data in both directions; "one_way" drops data from the server only.
    A connection that has dropped data keeps dropping it after the fault is over, since the stream
    has a gap by then. A middlebox that has lost its connection state behaves the same.
    """

    def __init__(self, listen, target):
        self.target = target
        self.fault = "none"
        self._connections = set()
        self._lock = threading.Lock()
        self._stopping = False
        self._server = socket.create_server(listen, backlog=128)
        self._server.settimeout(POLL_S)
        threading.Thread(target=self._accept, daemon=True).start()

    def set_fault(self, fault):
        self.fault = fault
        if fault == "reset":
            with self._lock:
                connections = list(self._connections)
            for connection in connections:
                self._reset(connection)

    def stop(self):
        self._stopping = True

    def _accept(self):
        while not self._stopping:
            try:
                client, _ = self._server.accept()
            except socket.timeout:
                continue
            threading.Thread(target=self._serve_client, args=(client,), daemon=True).start()
        self._server.close()

    def _reset(self, connection):
        for endpoint in connection:
            try:
                # SO_LINGER with a timeout of 0 makes the close send a reset.
                endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                endpoint.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the peer has already closed the connection

    def _serve_client(self, client):
        try:
            server = socket.create_connection(self.target, timeout=2)
        except OSError:
            client.close()
            return
        connection = (client, server)
        with self._lock:
            self._connections.add(connection)
        if self.fault == "reset":
            self._reset(connection)
        try:
            self._forward(client, server)
        except OSError:
            pass  # one side was closed or reset; both are closed below
        with self._lock:
            self._connections.discard(connection)
        client.close()
        server.close()

    def _forward(self, client, server):
        silenced = {client: False, server: False}
        with selectors.DefaultSelector() as ready:
            ready.register(client, selectors.EVENT_READ, server)
            ready.register(server, selectors.EVENT_READ, client)
            while not self._stopping:
                for key, _ in ready.select(POLL_S):
                    data = key.fileobj.recv(CHUNK_BYTES)
                    if not data:
                        return
                    if self.fault == "silent" or (self.fault == "one_way" and key.fileobj is server):
                        silenced[key.fileobj] = True
                    if silenced[key.fileobj]:
                        continue
                    if self.fault == "delay":
                        time.sleep(random.uniform(0.05, 0.4))
                    key.data.sendall(data)
