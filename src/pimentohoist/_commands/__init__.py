"""The commands of ``pimentohoistctl``."""
