"""What is an address of a process, and that nothing else is taken for one."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wallwell.address import Address, InvalidAddressError, parse_address

NONE = [
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    ":80",
    "127.0.0.1 :80",
    " 127.0.0.1:80",
    "127.0.0.1:80\n",
    "127.0.0.1\0:80",
    "[127.0.0.1:80",
    "[127.0.0.1]:80",
    "http://127.0.0.1:80/",
    "http://127.0.0.1:80",
    "127.0.0.1:http",
    "127.0.0.1:0",
    "127.0.0.1:080",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:+1",
    "127.0.0.1: 80",
    "127.0.0.1:8_0",
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:" + 5000 * "1",
    "127.0.0.1:\u00b2",
    "127.1:80",
    "127..1:80",
    "127.0.0.01:80",
    "127.0.0.256:80",
    "127.0.0.1.1:80",
    "\u0660.0.0.1:80",
    "2130706433:80",
    "0x7f.0.0.1:80",
    "worker.example:80",
    "localhost:80",
    64 * "a" + ":80",
    "..:9",
    "\ud800:80",
    "::1:80",
    "[::1]:80",
    "[::1%réseau]:",
    "fe80::1%eth0:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "240.0.0.1:80",
]


@pytest.mark.parametrize("text", NONE, ids=lambda text: ascii(text[:40]))
def test_what_names_no_process_is_rejected(text):
    with pytest.raises(InvalidAddressError) as raised:
        parse_address(text)
    assert str(raised.value).isascii() and len(str(raised.value)) < 500


@pytest.mark.parametrize("text", ["127.0.0.1:1", "10.0.0.1:80", "192.168.255.255:65535", "8.8.8.8:53"])
def test_address_is_read_and_written_alike(text):
    address = parse_address(text)
    assert str(address) == text
    assert address == Address(text.split(":")[0], int(text.split(":")[1]))


@given(text=st.text() | st.from_regex(r"[0-9.:]{0,24}"))
def test_any_text_is_an_address_or_rejected(text):
    try:
        address = parse_address(text)
    except InvalidAddressError:
        return
    assert str(address) == text
