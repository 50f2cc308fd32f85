"""Adapter for the users' platform: converts its names, formats and calls to the product's types.

This package contains no policy. No other package uses the platform's names.
"""
