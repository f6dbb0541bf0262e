"""Stand-ins for the platform and the upstreams, and a load generator. Each runs as a process."""
