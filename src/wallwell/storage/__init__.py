"""The transactional store and the machine list: interfaces, and clients of the stand-ins' protocol."""
