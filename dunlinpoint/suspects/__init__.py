"""Requests that end every endpoint that runs them: what is known, and who is told.

- :mod:`digest` names a request, whoever brings it and however often.
- :mod:`register` keeps which endpoints ended under it, and says what it may do.
- :mod:`sharing` carries what one entry saw to all others, by way of the controls.
"""
