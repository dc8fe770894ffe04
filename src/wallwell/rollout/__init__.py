"""Rollouts of a service's software version: requests move to the new version as long as its answers are good."""
