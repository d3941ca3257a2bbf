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
        self._links = set()
        self._lock = threading.Lock()
        self._stopping = False
        self._server = socket.create_server(listen, backlog=128)
        self._server.settimeout(POLL_S)
        threading.Thread(target=self._accept, daemon=True).start()

    def set_fault(self, fault):
        self.fault = fault
        if fault == "reset":
            with self._lock:
                links = list(self._links)
            for link in links:
                self._break(link)

    def stop(self):
        self._stopping = True

    def _accept(self):
        while not self._stopping:
            try:
                client, _ = self._server.accept()
            except socket.timeout:
                continue
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()
        self._server.close()

    def _break(self, link):
        for end in link:
            try:
                # An abortive close sends a reset.
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the other side has closed it already

    def _serve(self, client):
        try:
            server = socket.create_connection(self.target, timeout=2)
        except OSError:
            client.close()
            return
        link = (client, server)
        with self._lock:
            self._links.add(link)
        if self.fault == "reset":
            self._break(link)
        try:
            self._pump(client, server)
        except OSError:
            pass  # either side has gone; both are closed below
        with self._lock:
            self._links.discard(link)
        client.close()
        server.close()

    def _pump(self, client, server):
        mute = {client: False, server: False}
        with selectors.DefaultSelector() as ready:
            ready.register(client, selectors.EVENT_READ, server)
            ready.register(server, selectors.EVENT_READ, client)
            while not self._stopping:
                for key, _ in ready.select(POLL_S):
                    data = key.fileobj.recv(CHUNK_BYTES)
                    if not data:
                        return
                    if self.fault == "silent" or (self.fault == "one_way" and key.fileobj is server):
                        mute[key.fileobj] = True
                    if mute[key.fileobj]:
                        continue
                    if self.fault == "delay":
                        time.sleep(random.uniform(0.05, 0.4))
                    key.data.sendall(data)
