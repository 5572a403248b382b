"""Immutable value types, identifiers, enums and result codes that all other layers use."""
