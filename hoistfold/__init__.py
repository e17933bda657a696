"""hoistfold: the decisions of a quota-keeping gateway in front of a shared API."""
