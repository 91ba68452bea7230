"""Run the command line with ``python -m sorrelhoist``."""

from .cli import main

if __name__ == "__main__":
    main()
