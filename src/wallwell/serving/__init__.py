"""One request on its way: admitted, sent to a back end, tried again where that is safe, and answered. No wire
format.
"""
