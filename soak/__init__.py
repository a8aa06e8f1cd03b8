"""Run entry processes under random faults and check their guarantees."""
