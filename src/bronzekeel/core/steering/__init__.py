"""Choose the upstream that each packet is forwarded to."""
