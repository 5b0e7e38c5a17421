"""Our users' platform: its names, formats and calls, and nothing that decides.

==============  ==========================================================
module          holds
==============  ==========================================================
``dialect``     the platform's header names and paths
``notices``     what servers say of themselves in their answers
``documents``   its configuration bodies to and from our document
``admin``       calls of endpoints and operators at a control instance
``settings``    settings that change while a process runs
``ready``       the readiness question at an entry
``roles``       the daemon's roles as the platform starts them
==============  ==========================================================

Everything here is translated to calls of the product's own slices; nothing
outside this folder knows the platform's names.
"""
