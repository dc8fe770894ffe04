"""The standalone router's OpenAI-compatible interface and the life of its requests."""
