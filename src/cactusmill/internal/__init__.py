"""Implementation of cactusmill; nothing here is a public interface."""
