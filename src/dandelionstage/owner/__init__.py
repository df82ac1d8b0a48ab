"""The queue, slots and replica choice in front of backend servers."""
