"""Balance long flows and requests over upstreams without breaking either."""
