"""Intent files: parsing, checking, merging and explaining."""
