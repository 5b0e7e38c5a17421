"""What entries and agents know of the deployment, by following its controls.

==============  ==========================================================
module          holds
==============  ==========================================================
``controls``    which control instances are followed, and what they vouch for
``view``        members by endpoint id, and the document in force
==============  ==========================================================
"""
