"""Make routing, admission, retry and placement decisions without any I/O.

There are two kinds of entry, each with its own policies. ``entry`` and
``sidecar`` use ``admission``, ``balancing``, ``experts``, ``loads``,
``queueing``, ``retries``, ``sizes`` and ``subset``. ``direct`` and ``ranks``,
which work without sidecars, use all other modules.
"""
