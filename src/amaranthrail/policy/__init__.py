"""Make routing, admission, retry and placement decisions without any I/O."""
