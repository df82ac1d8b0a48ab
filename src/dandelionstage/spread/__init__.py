"""How VMs find each other and pass on what a few of them read."""
