"""Stand-ins for engines, services and the platform, with fault switches."""
