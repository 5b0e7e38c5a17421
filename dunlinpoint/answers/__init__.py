"""Whether an answer is complete, and whether another one continues it.

Without a network: both decide by what has been read of the answers.

- :mod:`completeness`: what the end of a body tells, by what marked it.
- :mod:`continuation`: whether the answer of a further run is the rest of a stream.
"""
