"""The view of the deployment that entries and agents poll from its controls.

==============  ==========================================================
module          contents
==============  ==========================================================
``controls``    the polled control instances, and when they confirmed the document
``view``        members by endpoint id, and the document in force
``heard``       what controls have heard of an endpoint since a time
==============  ==========================================================
"""
