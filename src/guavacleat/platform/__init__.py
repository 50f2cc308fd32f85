"""The users' platform: its names, formats and calls, translated to and from the product's types.

Nothing in here decides anything, and nothing outside it knows the platform's names.
"""
