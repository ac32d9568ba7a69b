"""Run the real programs as processes, inject faults from outside, and check the promises."""
