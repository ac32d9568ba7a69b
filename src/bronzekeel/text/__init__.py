"""Parse, validate, compare and submit the operators' text."""
