"""Quarantine of requests that crash the endpoints on which they run."""
