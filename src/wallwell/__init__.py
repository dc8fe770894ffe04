"""wallwell: a router for language-model traffic with long, deeply nested shared prompts."""

__version__ = "0.1.0"
