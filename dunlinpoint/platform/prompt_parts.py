"""The parts of a request's prompt, from the platform's header that lists them."""

HEADER = b"X-Dunlinpoint-Prefix-Hash"
# More parts than any prompt has. A caller that makes up parts gets no more of them
# remembered.
MAX_PARTS = 16
MAX_ID_LENGTH = 64


def from_request(headers):
    """The ids (``str``) of the parts in *headers*, in order and each of them once.

    The header lists ``ID:TOKENS`` entries separated by commas, the ID in hexadecimal.
    Entries that are not of this form are left out.
    """
    value = headers.getRawHeaders(HEADER, [b""])[-1]
    ids = {}
    for entry in value.split(b",", MAX_PARTS)[:MAX_PARTS]:
        part_id = entry.partition(b":")[0].strip().lower()
        if 0 < len(part_id) <= MAX_ID_LENGTH and _is_hexadecimal(part_id):
            ids[part_id.decode()] = None
    return tuple(ids)


def _is_hexadecimal(text):
    return not text.strip(b"0123456789abcdef")
