"""Connect the product's ports to protocols."""
