"""Run local fleets on stand-ins of the platform and the upstreams."""
