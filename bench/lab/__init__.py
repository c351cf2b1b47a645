"""The load laboratory: a serving node's own decisions, before modelled targets, in virtual time."""
