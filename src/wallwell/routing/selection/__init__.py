"""Choice of the back end of a request by shared prefixes, load, region and the weights of a traffic split."""
