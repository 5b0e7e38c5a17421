"""Thrift messages between dunlinpoint's processes, and their transport.

``dunlin.thrift`` is the service definition; ``gen/`` its generated code,
committed so that the build needs no generator; :mod:`.rpc` opens connections
and servers and converts transport failures to the errors in :mod:`.errors`.
"""
