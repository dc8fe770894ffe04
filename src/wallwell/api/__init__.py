"""Bodies of the callers' interface, shared by the gateway, the back ends and the stand-ins."""
