"""Hold every decision of a balancer as pure computation, without I/O."""
