"""Stand-ins and process control shared by the cases of the review."""
