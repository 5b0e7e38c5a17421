"""Whether the answer of a further run is the rest of a stream that broke off."""

import attrs


@attrs.frozen
class StreamHead:
    """What the answers of all runs of one stream have in common."""

    status: int
    media_type: bytes

    @classmethod
    def from_head(cls, head):
        """The ``StreamHead`` of the head of a response (``IResponse``)."""
        (value,) = head.headers.getRawHeaders(b"content-type", [b""])[-1:]
        return cls(head.code, value.split(b";")[0].strip().lower())

    def is_continued_by(self, head):
        """Whether *head* can be that of the rest of this stream.

        A 204, or a page of some other type, would end the stream as complete.
        """
        return self == self.from_head(head)
