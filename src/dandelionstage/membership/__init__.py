"""Which VMs are alive, learnt from probes and rumours."""
