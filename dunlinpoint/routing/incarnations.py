"""The key of one incarnation of an endpoint, which may restart under its id."""


def incarnation_key(member):
    """The key of the incarnation of *member*.

    With the id alone as the key, requests in flight and failures from before a restart
    would count against the new incarnation, and a stream that was broken off could not
    be continued there.
    """
    if not member.incarnation:
        return member.endpoint_id
    return f"{member.endpoint_id}@{member.incarnation}"
