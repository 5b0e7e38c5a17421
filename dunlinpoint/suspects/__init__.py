"""Detection of requests that crash every endpoint that runs them.

- :mod:`digest` identifies a request across its attempts, and what requests share.
- :mod:`registry` records which endpoints crashed while they ran a request.
- :mod:`cause` decides which requests may still run.
- :mod:`sharing` sends what one entry observed to all others, through the controls.
"""
