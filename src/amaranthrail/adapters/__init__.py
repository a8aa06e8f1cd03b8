"""Speak HTTP, TLS and the peer protocol, and implement ports over them."""
