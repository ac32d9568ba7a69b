"""Run real balancer processes, inject faults from outside, and check the promises."""
