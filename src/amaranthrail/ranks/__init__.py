"""Change the expert maps of rank groups from an entry, by orders to ranks."""
