"""The standalone router's clients for engines and services, and the wire format of the engines."""
