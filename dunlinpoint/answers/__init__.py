"""Whether an answer is complete.

Without a network: decides by what has been read of the answer.

- :mod:`completeness`: what the end of a body tells, by what marked it.
"""
