"""Global traffic steering for small operations teams."""

__version__ = "0.1.0"
