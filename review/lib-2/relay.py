"""A proxy on the way from one gateway to one replica.

It passes bytes on both ways until cut() is called. From then on it resets the
connections that it has and refuses new ones, or, if `silent`, keeps them open
and passes nothing on.
"""

import socket
import struct
import threading


class Relay:
    def __init__(self, host, port, target):
        self._target = target
        self._lock = threading.Lock()
        self._pairs = []
        self._cut = False
        self._silent = False
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(512)
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, silent=False):
        with self._lock:
            self._cut = True
            self._silent = silent
            pairs, self._pairs = self._pairs, []
        if silent:
            return
        # accept() in the other thread ends with it, so that connections are
        # refused from now on.
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        for pair in pairs:
            for sock in pair:
                reset(sock)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                if self._cut:
                    if not self._silent:
                        reset(near)
                    else:
                        self._pairs.append((near,))
                    continue
            try:
                far = socket.create_connection(self._target, timeout=1)
            except OSError:
                reset(near)
                continue
            far.settimeout(None)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._pairs.append((near, far))
            for ends in ((near, far), (far, near)):
                threading.Thread(target=self._pass_on, args=ends,
                                 daemon=True).start()

    def _pass_on(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if self._cut and self._silent:
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            if not (self._cut and self._silent):
                reset(source)
                reset(sink)


def reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        pass
    sock.close()
