"""Two processes of one ingress for a while: what they tell each other, and who does what meanwhile."""
