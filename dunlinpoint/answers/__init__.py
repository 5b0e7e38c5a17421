"""Whether an answer is complete, and whether another one continues it.

Without a network: all decide by what they are told of answers and endpoints.

- :mod:`completeness`: what is known of an answer whose end nobody marked.
- :mod:`end_checks`: how long such an answer is checked.
- :mod:`life_check`: whether an endpoint lives on, after a connection has ended.
- :mod:`continuation`: whether the answer of a further run is the rest of a stream.
"""
