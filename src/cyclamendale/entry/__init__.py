"""HTTP entry: requests from callers and onward calls."""
