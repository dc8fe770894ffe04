"""The request pipeline: admits a request, sends it to a back end, retries it where that is safe, and answers the
caller. Independent of any wire format.
"""
