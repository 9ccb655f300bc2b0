"""Stand-ins and checks that the scripts of the review share."""
