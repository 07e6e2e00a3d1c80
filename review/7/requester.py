"""Requester on a connection as over Ethernet (segments of 1,460 bytes, a receive buffer of 64 KiB) that reads slowly.

Usage: requester.py PORT ID. Writes a line 'begun' once the head and a part of the body have been read, and at the end a
line of JSON: the head, the number of bytes of the body, and how the connection ended ('end' or 'reset').
"""
import json
import socket
import sys
import time

PIECE_BYTES = 16_384
PAUSE_S = 0.05
BEGUN_BYTES = 8_192

port, attempt = int(sys.argv[1]), sys.argv[2]
conn = socket.socket()
conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
conn.settimeout(15)
conn.connect(("127.0.0.1", port))
conn.sendall(
    f"GET /download/{attempt} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000\r\n\r\n".encode()
)
received = b""
ended = "end"
has_told = False
try:
    while True:
        piece = conn.recv(PIECE_BYTES)
        if piece == b"":
            break
        received += piece
        if not has_told and len(received) >= BEGUN_BYTES:
            has_told = True
            print("begun", flush=True)
        time.sleep(PAUSE_S)
except ConnectionError:
    ended = "reset"
except TimeoutError:
    ended = "silence"

head, _, body = received.partition(b"\r\n\r\n")
print(json.dumps({"head": head.decode("latin1").split("\r\n"), "bytes": len(body), "ended": ended}), flush=True)
