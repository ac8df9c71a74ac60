"""Kinds of endpoints, apart from the data that operators declare.

Schemas name them. Reading a settings file needs schemas, and a relay's start would
otherwise build the classes of that data, which no relay uses.
"""

ENGINE = "engine"
"""Endpoint kind of a model engine that streams tokens."""

SERVICE = "service"
"""Endpoint kind of a plain service that answers a call as a whole."""
