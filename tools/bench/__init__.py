"""Load and experiments on real daemons, each policy against its baseline."""
