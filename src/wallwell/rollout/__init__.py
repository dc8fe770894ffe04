"""Rollouts of a service's software version: requests move to new back ends as far as their answers allow."""
