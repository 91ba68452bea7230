import weakref

from tests.virtual_loop import run_virtual


class Node:
    """An object that refers to itself, as gateways and their tasks do."""

    def __init__(self):
        self.itself = self


def test_what_a_virtual_fleet_leaves_does_not_stop_the_loop_of_a_later_test():
    left = []

    async def main():
        left.append(weakref.ref(Node()))

    run_virtual(main())
    assert left[0]() is None
