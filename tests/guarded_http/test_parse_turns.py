"""Order and processor time of parsing, without a network."""

import pytest

from hornbeamramp.guarded_http.parse_turns import ITERATION_S, ParseTurns

PIECE_S = ITERATION_S / 4


class Load:
    """Connections named by letters, each with a number of pieces to parse.

    `parsed`
        Names in the order in which their pieces were parsed.
    """

    def __init__(self):
        self.now = 0.0
        self.turns = ParseTurns(lambda: self.now)
        self.parsed = []
        self.pieces_by_name = {}

    def arrive(self, name, pieces):
        self.pieces_by_name[name] = pieces
        self.turns.add(name)

    def parse(self, name, cost_s=PIECE_S):
        def parse_piece():
            self.now += cost_s
            self.parsed.append(name)
            self.pieces_by_name[name] -= 1
            return self.pieces_by_name[name] > 0

        self.turns.parse(name, parse_piece)

    def run_iteration(self):
        self.turns.begin_iteration()
        began = self.now
        while (name := self.turns.take()) is not None:
            self.parse(name)
        return self.now - began


@pytest.fixture
def load():
    return Load()


def test_iteration_ends_although_a_crowd_has_more(load):
    """Load: 700 bodies in chunks of one byte, a minute of a processor in all. Guards against an
    event loop that does nothing else meanwhile."""
    for number in range(700):
        load.arrive(number, 100)
    for _ in range(10):
        assert load.run_iteration() <= ITERATION_S + PIECE_S


def test_short_request_is_parsed_before_the_rest_of_long_ones(load):
    """Load: an ordinary caller that arrives while a crowd is being parsed."""
    for name in "abcd":
        load.arrive(name, 100)
    load.run_iteration()
    load.arrive("z", 1)
    load.parsed.clear()
    load.run_iteration()
    assert load.parsed[0] == "z"


def test_connections_that_have_used_the_same_take_turns(load):
    """Guards against one long body that is parsed to its end before the next begins."""
    for name in "ab":
        load.arrive(name, 4)
    load.run_iteration()
    load.run_iteration()
    assert load.parsed == list("abababab")


def test_next_request_of_a_connection_has_used_nothing(load):
    """Guards against callers that keep their connection and come last after a while."""
    load.arrive("a", 3)
    load.arrive("b", 2)
    load.run_iteration()
    load.turns.forget("a")
    load.arrive("b", 1)
    load.arrive("a", 1)
    load.parsed.clear()
    load.run_iteration()
    assert load.parsed == ["a", "b"]


def test_connection_that_has_left_is_not_parsed(load):
    """Guards against work that outlasts its connections."""
    for number in range(1000):
        load.arrive(number, 1)
    for number in range(999):
        load.turns.forget(number)
    load.run_iteration()
    assert load.parsed == [999]
    assert len(load.turns) == 0


def test_request_that_ends_within_a_piece_leaves_nothing_behind(load):
    """Guards against a table that grows with each request."""

    def parse_piece():
        load.now += PIECE_S
        load.turns.forget("a")
        return False

    load.turns.parse("a", parse_piece)
    load.arrive("b", 1)
    load.arrive("a", 1)
    load.run_iteration()
    assert load.parsed == ["b", "a"]
