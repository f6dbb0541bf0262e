"""Adapter to the users' platform: translates between its protocol and this project's types.

No code outside this package uses the platform's names. Where they differ: a zone is a data centre,
a server or worker entry is a listing, ``born`` is the start time of a worker's boot, a route is a
queue, a service is a pool.
"""
