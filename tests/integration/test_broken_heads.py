"""Answers of endpoints whose head is not one of the protocol."""

import json
import socket

import pytest

from tests.integration import platform_lab
from tests.integration.platform_lab import ATTEMPT, SIGNATURE
from tests.integration.waits import wait_for

# A body that is whole as an event of a stream, too.
BODY = b"id: 1\ndata: body\n\n"
CHUNKED_BODY = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
LENGTH = b"Content-Length: %d" % len(BODY)
STATUS_LINE = b"HTTP/1.1 200 OK"
# Longer than the deadline of the request.
TIMEOUT_S = 6

STATUS_LINES = {
    "000": b"HTTP/1.1 000 Trouble",
    "below-100": b"HTTP/1.1 099 Trouble",
    "above-599": b"HTTP/1.1 600 Trouble",
    "999": b"HTTP/1.1 999 Trouble",
    "two-digits": b"HTTP/1.1 20 Trouble",
    "four-digits": b"HTTP/1.1 0200 Trouble",
    "interim-four-digits": b"HTTP/1.1 0100 Continue\r\n\r\n" + STATUS_LINE,
    "sign": b"HTTP/1.1 +200 Trouble",
    "negative": b"HTTP/1.1 -200 Trouble",
    "underscore": b"HTTP/1.1 2_00 Trouble",
    "no-number": b"HTTP/1.1 2xx Trouble",
    "no-status": b"HTTP/1.1",
    "tab-after-status": b"HTTP/1.1 200\tTrouble",
    "two-blanks": b"HTTP/1.1  200 Trouble",
    "other-protocol": b"ICY/1.1 200 Trouble",
    "other-version": b"HTTP/2.0 200 Trouble",
    "no-version": b"HTTP 200 Trouble",
    "control-byte-in-phrase": b"HTTP/1.1 200 \x01Trouble",
    "bare-return-in-phrase": b"HTTP/1.1 200 OK\rX-Trouble: 1",
}
# Lines that stand after the signature.
FIELDS = {
    "blank-in-name": b"X Trouble: 1",
    "blank-before-colon": b"X-Trouble : 1",
    "tab-before-colon": b"X-Trouble\t: 1",
    "blank-first": b" X-Trouble: 1",
    "tab-first": b"\tX-Trouble: 1",
    "control-byte-in-name": b"X-\x01Trouble: 1",
    "control-byte-first": b"\x01X-Trouble: 1",
    "null-in-name": b"X-Trouble\x00: 1",
    "delete-in-name": b"X-Trouble\x7f: 1",
    "bare-return-in-name": b"X-\rTrouble: 1",
    "no-ascii-in-name": b"X-Tr\xc3\xb6uble: Trouble",
    "empty-name": b": Trouble",
    "no-colon": b"X-Trouble",
    "null-in-value": b"X-Trouble: a\x00b",
    "control-byte-in-value": b"X-Trouble: a\x01b",
    "escape-in-value": b"X-Trouble: \x1b[2J",
    "bare-return-in-value": b"X-Trouble: a\rX-More: b",
}
# Fields whose loss changes where the body ends, which are sent as the only such ones.
FRAMINGS = {
    "blank-before-length": LENGTH.replace(b":", b" :"),
    "blank-in-length": LENGTH.replace(b"-", b" "),
    "blank-first-length": b" " + LENGTH,
    "control-byte-first-length": b"\x01" + LENGTH,
    "blank-before-coding": b"Transfer-Encoding : chunked",
    "blank-first-coding": b" Transfer-Encoding: chunked",
}
# Fields that contradict each other about where the body ends.
CONTRADICTIONS = {
    "coding-and-length": [b"Transfer-Encoding: chunked", b"Content-Length: 4"],
    "length-and-coding": [b"Content-Length: 4", b"Transfer-Encoding: chunked"],
    "two-codings": [b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip"],
    "two-codings-in-one": [b"Transfer-Encoding: gzip, chunked"],
    "same-coding-twice": [b"Transfer-Encoding: chunked"] * 2,
    "unknown-coding": [b"Transfer-Encoding: gzip"],
    "two-lengths": [b"Content-Length: 4", LENGTH],
    "two-lengths-in-one": [LENGTH + b", 4"],
    "signed-length": [LENGTH.replace(b": ", b": +")],
    "no-length": [b"Content-Length:"],
}
# Fields that name another request, before and behind the one that names the caller's.
FOREIGN_ID = f"{ATTEMPT}: Trouble".encode()
FOREIGN = {
    "foreign-id-before": (STATUS_LINE + b"\r\n" + FOREIGN_ID, [LENGTH]),
    "foreign-id-behind": (STATUS_LINE, [FOREIGN_ID, LENGTH]),
}
# The first lines and the further fields of each kind of answer.
HEADS = (
    FOREIGN
    | {kind: (line, [LENGTH]) for kind, line in STATUS_LINES.items()}
    | {kind: (STATUS_LINE, [line, LENGTH]) for kind, line in FIELDS.items()}
    | {kind: (STATUS_LINE, [line]) for kind, line in FRAMINGS.items()}
    | {kind: (STATUS_LINE, lines) for kind, lines in CONTRADICTIONS.items()}
)


class Server(platform_lab.Server):
    """A server that sends a broken head, by the last segment of the path.

    With "once-" before the kind, only the first run of a request is answered with it.
    """

    def do_POST(self):
        kind = self.path.rsplit("/", 1)[1]
        attempt = self.headers[ATTEMPT]
        has_run = any(attempt == ran for _, ran in self.server.runs)
        is_broken = not (kind.startswith("once-") and has_run)
        kind = kind.removeprefix("once-")
        if kind not in HEADS or not is_broken:
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.runs.append((self.server.id, attempt))
        self.close_connection = True
        self.connection.sendall(self.broken_answer(*HEADS[kind]))

    def broken_answer(self, status_line, fields):
        own = f"{ATTEMPT}: {self.headers[ATTEMPT]}".encode()
        signature = f"{SIGNATURE}: {self.server.id}".encode()
        is_chunked = any(b"chunked" in field for field in fields)
        body = CHUNKED_BODY if is_chunked else BODY
        return b"\r\n".join([status_line, own, signature, *fields, b"", body])


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """A platform with servers that send broken heads."""
    folder = tmp_path_factory.mktemp("broken-heads")
    yield from platform_lab.run(folder, server_class=Server)


def call(platform, path, attempt):
    """Every byte that the caller of *path* gets."""
    head = [
        f"POST {path} HTTP/1.1",
        f"Host: {platform_lab.HOST}",
        f"{ATTEMPT}: {attempt}",
        "X-Dunlinpoint-Deadline-Ms: 4000",
        "Authorization: Bearer key-1",
        "Content-Length: 2",
        "Connection: close",
    ]
    address = ("127.0.0.1", platform.entry_port)
    received = b""
    with socket.create_connection(address, timeout=TIMEOUT_S) as caller:
        caller.sendall("\r\n".join(head).encode() + b"\r\n\r\n{}")
        while data := caller.recv(65536):
            received += data
    return received


def logged(platform, event, request):
    """The lines of *event* that the entry has logged about *request*."""
    text = (platform.folder / "entry.log").read_text()
    lines = [json.loads(line) for line in text.split("\n")[:-1]]
    return [x for x in lines if (x["event"], x.get("request")) == (event, request)]


def test_a_request_that_may_run_again_goes_to_another_endpoint(platform):
    # Failure: a status that does not exist is passed on as the answer of a request that
    # another endpoint would have answered.
    received = call(platform, "/often/once-000", "again")
    assert received.startswith(b"HTTP/1.1 200 "), received
    first, second = platform.servers_that_ran("again")
    assert first != second
    (line,) = wait_for(lambda: logged(platform, "invalid_head", "again"))
    assert line["endpoint_id"] == first
    assert "000 Trouble" in line["error"]


@pytest.mark.parametrize("prefix", ["/once/", "/stream/"])
@pytest.mark.parametrize("kind", HEADS)
def test_an_answer_with_a_broken_head_reaches_no_caller(platform, kind, prefix):
    # Failure: a caller gets bytes of an endpoint in trouble as an answer: a status that
    # does not exist, a line that is no field, or a body that the endpoint did not send.
    attempt = f"{kind}{prefix.replace('/', '-')}"
    received = call(platform, prefix + kind, attempt)
    assert received.startswith(b"HTTP/1.1 502 "), received
    assert SIGNATURE.encode() not in received
    assert b"Trouble" not in received and b"body" not in received
