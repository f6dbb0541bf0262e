"""Adapter to the users' platform: translates between its wire and this package's types.

Nothing outside this package knows the platform's names. Words of the wire that differ from ours:
a zone is a data centre, a server or worker entry is a listing, a boot is named by ``born``, a route
is a queue, a service is a pool.
"""
