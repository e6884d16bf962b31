"""What backend servers still hold of prompts that they have read.

Decides how much reading time a request saves at each server that may get it, for the
callers of services whose configuration says that its servers keep prompts.
"""
