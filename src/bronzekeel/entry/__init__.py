"""Run the lean daemon that steers by connection ids."""
