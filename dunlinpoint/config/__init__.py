"""The operators' configuration document: its format, validation and errors."""
