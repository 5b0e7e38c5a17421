"""The view of the deployment that entries and agents poll from its controls.

==============  ==========================================================
module          holds
==============  ==========================================================
``controls``    the polled control instances, and what they vouch for
``view``        members by endpoint id, and the document in force
==============  ==========================================================
"""
