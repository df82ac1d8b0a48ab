"""The stop sequence and the notice of a paused process."""
