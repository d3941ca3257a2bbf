"""TCP proxies on the loopback, each with a fault that can be changed while connections are open."""

import random
import selectors
import socket
import threading
import time

CHUNK_BYTES = 16384
POLL_S = 0.05


class LoopbackProxy:
    """Forwards one address to another.

    Faults: "none"; "delay" holds every chunk back for a while; "reset" breaks open and new
    connections; "silent" swallows what comes in either direction; "one_way" swallows answers only.
    A connection that was silenced stays silent when the fault is over, as on a middlebox that has
    forgotten it: bytes in the middle of a stream are missing.
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
                # An abortive close sends a reset.
                endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                endpoint.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the other side has closed it already

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
            pass  # either side has gone; both are closed below
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
