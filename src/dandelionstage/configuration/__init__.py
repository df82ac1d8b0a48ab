"""Published documents: storage, reading and distribution between VMs."""
