"""Thrift messages between dunlinpoint's processes, and how they travel.

``dunlin.thrift`` is the service definition; ``gen/`` its generated code,
committed so the build needs no generator; :mod:`.rpc` opens links and
servers and turns transport failures into this layer's errors.
"""
