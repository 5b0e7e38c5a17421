"""Detection of requests that crash every endpoint that runs them.

- :mod:`digest` identifies a request across its attempts.
- :mod:`registry` records which endpoints crashed while they ran a request, and
  whether it may still be run.
- :mod:`sharing` sends what one entry observed to all others, through the controls.
"""
