"""What is the head of an HTTP/1.1 answer (RFC 9112, RFC 9110), form by form and byte by byte."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser, HttpResponseParserPy
from hypothesis import given
from hypothesis import strategies as st

from wallwell.answer_head import (
    EXCERPT_BYTES,
    HeadCheck,
    MalformedAnswerError,
    is_final_head,
    parse_header_decimal,
    parse_header_number,
)

TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
TEXT_BYTES = frozenset(b"\t") | frozenset(range(0x20, 0x7F)) | frozenset(range(0x80, 0x100))
OK = b"HTTP/1.1 200 OK\r\n"
END = b"X-Last: z\r\n\r\n"

SOUND = {
    "no field": OK + b"\r\n",
    "length": OK + b"Content-Length: 5\r\n\r\n",
    "length without blanks": OK + b"Content-Length:5\r\n\r\n",
    "length among blanks": OK + b"content-length: \t5 \t\r\n\r\n",
    "length with zeros": OK + b"Content-Length: 0005\r\n\r\n",
    "chunks": OK + b"Transfer-Encoding: Chunked\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + END,
    "no reason": b"HTTP/1.1 200 \r\n" + END,
    "no reason nor blank": b"HTTP/1.1 200\r\n" + END,
    "reason of any text": b"HTTP/1.1 200 \xe9\t so-so: 7\r\n" + END,
    "empty value": OK + b"X-A:\r\n" + END,
    "value with a colon": OK + b"X-A: b: c\r\n" + END,
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "interim with an empty body": b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
    "not modified, with a length": b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
    **{f"status {status}": b"HTTP/1.1 %d S\r\n" % status + END for status in (102, 200, 299, 300, 421, 500, 599)},
}
"""Heads that are whole; rare ones among them."""


def status_line(line):
    return line + b"\r\n" + END


def with_field(line):
    return OK + line + b"\r\n" + END


NO_STATUSES = b"000,001,012,099,600,999,2,20,2000,0200,-20,+20,2x0,OK,,\xb2\xb0\xb0".split(b",")
NO_VERSIONS = b"HTTP/0.9,HTTP/1.2,HTTP/2.0,HTTP/2,HTTP/11,HTTP/1.10,http/1.1,RTSP/1.0,ICY, HTTP/1.1,".split(b",")
MALFORMED = {
    **{f"status {status!r}": status_line(b"HTTP/1.1 " + status + b" OK") for status in NO_STATUSES},
    **{f"version {version!r}": status_line(version + b" 200 OK") for version in NO_VERSIONS},
    "tab behind the version": status_line(b"HTTP/1.1\t200 OK"),
    "two blanks behind the version": status_line(b"HTTP/1.1  200 OK"),
    "tab behind the status": status_line(b"HTTP/1.1 200\tOK"),
    "reason at the status": status_line(b"HTTP/1.1 200OK"),
    "carriage return in the reason": status_line(b"HTTP/1.1 200 O\rK"),
    "empty line before the answer": b"\r\n" + OK + END,
    "status line with a line feed only": b"HTTP/1.1 200 OK\n" + END,
    "line feeds only": (OK + END).replace(b"\r\n", b"\n"),
    "head that ends with a line feed": OK + b"X-A: b\r\n\n",
    "line feed before a name": with_field(b"\nX-A: b"),
    "folded line": with_field(b"X-A: b\r\n c"),
    "line folded with a tab": with_field(b"X-A: b\r\n\tc"),
    "blank before the first name": OK + b" X-A: b\r\n" + END,
    "no colon": with_field(b"X-A"),
    "no name": with_field(b": b"),
    "bare carriage return at the end of a value": with_field(b"X-A: b\r"),
    "blank behind the name of the length": OK + b"Content-Length : 5\r\n\r\n",
    "blank behind the name of the coding": OK + b"Transfer-Encoding : chunked\r\n\r\n",
    **{
        f"length {value!r}": OK + b"Content-Length: " + value + b"\r\n\r\n"
        for value in (b"", b"+5", b"-5", b"5, 5", b"5 5", b"0x5", b"5a", b"5_0", b"5.0", b"\xb2", b"9" * 19)
    },
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 4\r\n\r\n",
    "the same length twice": OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
    **{
        f"coding {value!r}": OK + b"Transfer-Encoding: " + value + b"\r\n\r\n"
        for value in (
            b"",
            b"gzip",
            b"identity",
            b"xchunked",
            b"chunked, gzip",
            b"gzip, chunked",
            b"chunked, chunked",
        )
    },
    "two codings": OK + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    "length and chunks": OK + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    "chunks in HTTP/1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "interim with a length": b"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n",
    "interim with chunks": b"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
    "interim with a malformed field": b"HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n",
    "other protocol": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
}


def check(*pieces):
    """Return the check after it was fed the pieces, and where the head ends in the last of them."""
    head = HeadCheck()
    end = 0
    for piece in pieces:
        assert not head.is_complete
        end = head.feed(piece)
    return head, end


def is_head(data):
    try:
        head, end = check(data)
    except MalformedAnswerError:
        return False
    assert head.is_complete and end == len(data)
    return True


@pytest.mark.parametrize("form", SOUND)
def test_sound_head_is_taken_and_its_end_found(form):
    head, end = check(SOUND[form] + b"body\r\n\r\n")
    assert head.is_complete
    assert end == len(SOUND[form])


@pytest.mark.parametrize("form", MALFORMED)
def test_malformed_head_is_no_answer(form):
    assert not is_head(MALFORMED[form])


@pytest.mark.parametrize("status", range(1000))
def test_statuses_are_those_of_a_class(status):
    """Guards against a status of 000 that reaches a caller."""
    assert is_head(b"HTTP/1.1 %03d S\r\n\r\n" % status) == (100 <= status <= 599 and status != 101)


POSITIONS = {
    "first": b"%s\r\nX-Last: z\r\n",
    "middle": b"X-First: a\r\n%s\r\nX-Last: z\r\n",
    "last": b"X-First: a\r\n%s\r\n",
}


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("name", [b"X-Name", b"Content-Length", b"Transfer-Encoding", b"Connection", b"Upgrade"])
@pytest.mark.parametrize("place", ["before", "inside", "behind"])
def test_names_hold_token_bytes_only(position, name, place):
    """Guards against a blank or a control byte in a name that is passed on or that changes the body."""
    at = {"before": 0, "inside": 3, "behind": len(name)}[place]
    for byte in range(256):
        line = name[:at] + bytes([byte]) + name[at:] + b": 5"
        head = OK + POSITIONS[position].replace(b"%s", line) + b"\r\n"
        # A colon ends the name before it.
        expected = byte in TOKEN_BYTES or (byte == ord(":") and place != "before")
        if byte == ord(":") and place == "behind" and name in (b"Content-Length", b"Transfer-Encoding"):
            expected = False  # ": 5" is neither a length nor a coding.
        assert is_head(head) == expected, line


@pytest.mark.parametrize("place", ["reason", "value"])
def test_text_holds_no_control_bytes_but_the_tab(place):
    for byte in range(256):
        text = b"a" + bytes([byte]) + b"b"
        head = b"HTTP/1.1 200 " + text + b"\r\n" + END if place == "reason" else with_field(b"X-A: " + text)
        assert is_head(head) == (byte in TEXT_BYTES), text


@pytest.mark.parametrize("parser_type", [HttpResponseParser, HttpResponseParserPy])
@pytest.mark.parametrize("form", SOUND)
def test_parsers_read_what_the_check_takes(run_async, parser_type, form):
    """Guards against a verdict that depends on whether aiohttp's compiled parser is there."""

    async def parse():
        loop = asyncio.get_running_loop()
        options = {"read_until_eof": True, "response_with_body": True, "auto_decompress": False}
        parser = parser_type(BaseProtocol(loop), loop, 2**16, **options)
        messages, _, rest = parser.feed_data(SOUND[form])
        return messages, rest

    messages, rest = run_async(parse())
    head, _ = check(SOUND[form])
    ((message, _),) = messages
    assert not rest
    assert (message.code, message.chunked) == (head.status, head.is_chunked)
    fields = [line.partition(b":") for line in SOUND[form].split(b"\r\n")[1:-2]]
    assert list(message.raw_headers) == [(name, value.strip(b" \t")) for name, _, value in fields]


@given(form=st.sampled_from([*SOUND, *MALFORMED]), data=st.data())
def test_verdict_does_not_depend_on_how_the_bytes_arrive(form, data):
    whole = {**SOUND, **MALFORMED}[form]
    cuts = sorted(data.draw(st.sets(st.integers(1, len(whole) - 1), max_size=4)))
    pieces = [whole[start:end] for start, end in zip([0, *cuts], [*cuts, len(whole)], strict=True)]
    if form in MALFORMED:
        with pytest.raises(MalformedAnswerError):
            check(*pieces)
    else:
        head, end = check(*pieces)
        assert head.is_complete and end == len(pieces[-1])


@pytest.mark.parametrize("form", ["status b'000'", "blank behind the name of the length", "line feeds only"])
def test_malformed_line_is_noticed_before_the_head_ends(form):
    """Guards against a caller who waits for the end of what can never become an answer."""
    with pytest.raises(MalformedAnswerError):
        check(MALFORMED[form].rstrip(b"\r\n") + MALFORMED[form][-2:][:1] + b"\n")


def test_message_quotes_the_line_with_escapes_and_bounded():
    with pytest.raises(MalformedAnswerError) as caught:
        check(OK + b"X\x1b[31mA" + b"a" * 10_000 + b": b\r\n")
    assert "\\x1b" in str(caught.value) and "\x1b" not in str(caught.value)
    assert len(str(caught.value)) < 2 * EXCERPT_BYTES


@pytest.mark.parametrize(
    ("status", "name", "value", "expected"),
    [
        (200, b"X-A", b"b\t\xff", True),
        (599, b"X-A", b"", True),
        (0, b"X-A", b"b", False),
        (103, b"X-A", b"b", False),
        (600, b"X-A", b"b", False),
        (200, b"X-A ", b"b", False),
        (200, b"", b"b", False),
        (200, b"X-A:", b"b", False),
        (200, b"X-A", b"b\r\nX-B: c", False),
        (200, b"X-A", b"b\x00", False),
    ],
)
def test_head_in_a_message_is_held_to_the_same_rule(status, name, value, expected):
    assert is_final_head(status, [(b"X-First", b"a"), (name, value)]) == expected


@pytest.mark.parametrize(("text", "expected"), [("0", 0), ("007", 7), ("9" * 18, 10**18 - 1)])
def test_numbers_of_headers_are_decimal_digits(text, expected):
    assert parse_header_number(text) == expected


@pytest.mark.parametrize(
    ("text", "expected"), [("0", 0.0), ("007.50", 7.5), ("9" * 18 + "." + "1" * 18, 1e18), ("3", 3.0)]
)
def test_decimal_numbers_of_headers_have_at_most_one_point(text, expected):
    assert parse_header_decimal(text) == expected


@pytest.mark.parametrize(
    "text",
    ["", ".", "1.", ".5", "1.2.3", "9" * 19, "0." + "3" * 19, "1e3", "nan", "inf", "+1", "-1", "\u0661", "1_0"],
)
def test_other_texts_are_no_decimal_numbers_of_headers(text):
    assert parse_header_decimal(text) is None


@pytest.mark.parametrize("text", ["", "9" * 19, "\u00b2", "\u0663", "+1", "-1", "1.0", "1_0", " 1", "1\n"])
def test_other_texts_are_no_numbers_of_headers(text):
    assert parse_header_number(text) is None
