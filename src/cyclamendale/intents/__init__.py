"""Intent files: parsing, validation, merging and explanation."""
