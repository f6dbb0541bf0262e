"""Stand-ins of the users' platform for the review: store, workers, clients and entry VMs."""
