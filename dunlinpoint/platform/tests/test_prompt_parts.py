"""The header that lists the parts of a request's prompt."""

import pytest
from twisted.web import http_headers

from dunlinpoint.platform import prompt_parts


@pytest.mark.parametrize(
    "value, parts",
    [
        (
            b"5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            ("5c1e07a2", "91bd3f06", "e4402b7d"),
        ),
        (b" 5C1E:1 , 5c1e:2", ("5c1e",)),
        (b"5c1e", ("5c1e",)),
        (b"", ()),
        (b",:3,plan:4,%s:1" % (b"a" * (prompt_parts.MAX_ID_LENGTH + 1)), ()),
    ],
)
def test_the_parts_are_the_ids_in_the_header(value, parts):
    headers = http_headers.Headers({prompt_parts.HEADER: [value]})
    assert prompt_parts.from_request(headers) == parts


def test_a_request_without_the_header_has_no_parts():
    assert prompt_parts.from_request(http_headers.Headers()) == ()


def test_a_caller_that_makes_up_parts_gets_few_of_them_remembered():
    value = b",".join(b"%x:1" % number for number in range(1000))
    headers = http_headers.Headers({prompt_parts.HEADER: [value]})
    assert len(prompt_parts.from_request(headers)) == prompt_parts.MAX_PARTS
