"""Published documents: the store, the reader and their spread between VMs."""
