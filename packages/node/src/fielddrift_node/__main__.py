"""Run `fielddriftd` as a module."""

from .main import main

main()
