"""A query tier over many shards, driven by customer contracts."""

__all__ = ('__version__',)

__version__ = '0.1.0'
