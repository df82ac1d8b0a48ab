"""The stand-in backend server: slots, drain, faults and a witness log."""
