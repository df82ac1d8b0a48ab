"""Shows the product on loopback: what it does when members are lost."""
