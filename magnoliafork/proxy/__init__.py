"""Request proxy: ingress, sender, receiver and upstream client."""
