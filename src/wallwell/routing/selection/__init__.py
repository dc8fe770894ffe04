"""Decisions: which back end gets a request, by shared prefixes, load, region and weights of a split."""
