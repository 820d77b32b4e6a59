"""Measurements, the demonstration and the index of proofs."""
